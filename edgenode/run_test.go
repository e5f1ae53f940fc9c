package edgenode

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// childVariable marks a process that is to be the edge node.
const childVariable = "YARDCLEAT_TEST_EDGE"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		if err := Run(context.Background(), os.Stderr); err != nil {
			fmt.Fprintln(os.Stderr, "edge:", err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func edgeCommand(config string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childVariable+"=1", "NODE_CONFIG="+config)
	return cmd
}

// A configuration that can't be meant ends the program with one line and status 1.
func TestBadConfigurationEndsTheProgram(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(strings.Replace(configJSON, `"conn_idle_ms":10000,`, "", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, p := range []string{path, path + ".none", ""} {
		out, err := edgeCommand(p).CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 1 || strings.Count(string(out), "\n") != 1 {
			t.Errorf("%q: %v, %q", p, err, out)
		}
	}
}

// A real process under load: new configurations by SIGHUP, one that can't be read
// among them, cost no request; after SIGTERM all that it took is answered and it ends
// well.
func TestSignals(t *testing.T) {
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		return l
	}
	s := &testbed{t: t}
	list := `{"index":7,"snapshot":true,"endpoints":[`
	hold := make(chan struct{}) // the last request's answer
	for i := range s.servers {
		s.servers[i] = &fakeServer{respond: func(_ int, id string) (string, bool) {
			if id == "the-last-one" {
				<-hold
			}
			return okResponse("for " + id), false
		}}
		l := listen()
		go s.servers[i].serve(l)
		list += strings.Repeat(",", i) + fmt.Sprintf(`{"name":"s-%d","address":"%s","zone":"a","group":1,"status":"ready","weight":1,"since_ms":0}`, i, l.Addr())
	}
	list += "]}"
	var asked [2]atomic.Int64
	var discoveries [2]string
	for i := range discoveries {
		l := listen()
		discoveries[i] = l.Addr().String()
		go s.answerPolls(l, func(string) string { asked[i].Add(1); return list })
	}
	free := listen()
	address := free.Addr().String()
	free.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(discovery string) {
		src := strings.NewReplacer("10.0.0.1:80", address, "10.0.3.1:80", discovery, `"peers":true`, `"peers":false`).Replace(configJSON)
		if err := os.WriteFile(path, []byte(src), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(discoveries[0])
	cmd := edgeCommand(path)
	var log strings.Builder
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	defer cmd.Process.Kill()

	ask := func(request string) int {
		nc, err := net.Dial("tcp", address)
		if err != nil {
			return -1
		}
		defer nc.Close()
		nc.SetDeadline(time.Now().Add(20 * time.Second))
		if _, err := nc.Write([]byte(request)); err != nil {
			return -1
		}
		status, _ := readResponse(nc)
		return status
	}
	until := func(what string, f func() bool) {
		t.Helper()
		for range 1000 {
			if f() {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		t.Fatalf("%s did not happen; the log: %s", what, log.String())
	}
	up := "GET /up HTTP/1.1\r\nHost: h\r\n\r\n"
	until("ready", func() bool { return ask(up) == 200 })

	var wrong, served atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for k := range 3 {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				// Patience is long: what is asked here is whether one comes, not how soon.
				r := strings.Replace((&testbed{lastID: 1000*k + i}).requestText("lookup", ""), "1500", "3000", 1)
				if status := ask(r); status == 200 {
					served.Add(1)
				} else if status <= 0 || status < 500 && status != 429 {
					wrong.Add(1) // a busy machine may be late, and say so
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	hup := func() {
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	write(discoveries[1])
	hup()
	until("the move of discovery", func() bool { return asked[1].Load() > 1 })
	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	hup()
	before := asked[1].Load()
	until("going on with the old configuration", func() bool { return asked[1].Load() > before+1 })
	until("enough requests", func() bool { return served.Load() > 30 })
	close(stop)
	clients.Wait()
	if wrong.Load() > 0 {
		t.Errorf("%d requests got no answer or a wrong one", wrong.Load())
	}

	open := make(chan int, 1)
	go func() { open <- ask(strings.Replace(s.requestText("loan-change", "the-last-one"), "1500", "2000", 1)) }()
	until("the last request's attempt", func() bool { return strings.Contains(strings.Join(s.requestsSeen(), " "), "the-last-one") })
	// SIGTERM twice, and SIGHUP between: the node drains once, and is told of the move.
	write(discoveries[0])
	was := asked[0].Load()
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		if err := cmd.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
	}
	// What is open holds the node meanwhile.
	for range 150 {
		if asked[0].Load() > was {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	close(hold)
	if status := <-open; status < 200 {
		t.Errorf("what was open at SIGTERM: status %d", status)
	}
	select {
	case err := <-exited:
		if err != nil {
			t.Errorf("ended with %v; the log: %s", err, log.String())
		}
	case <-time.After(30 * time.Second):
		t.Fatal("did not end")
	}
	if asked[0].Load() == was {
		t.Error("SIGHUP behind SIGTERM was not heard")
	}
	if !strings.Contains(log.String(), "configuration reload failed; keeping the current one") {
		t.Errorf("nothing said of the configuration that can't be read: %s", log.String())
	}
}

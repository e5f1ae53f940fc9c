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
func TestInvalidConfigurationEndsProcess(t *testing.T) {
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

// edgeProcess is an edge node in a process of its own, with two servers and two agents of
// discovery on loopback.
type edgeProcess struct {
	*testbed
	configPath         string
	discoveryAddresses [2]string       // their addresses
	pollCounts         [2]atomic.Int64 // that each has got
	cmd                *exec.Cmd
	log                *strings.Builder // read it only once exited is
	exited             chan error
}

// startProcess starts the node with the first discovery, and waits until it is ready.
func startProcess(t *testing.T, respond func(n int, id string) (string, bool)) *edgeProcess {
	t.Helper()
	p := &edgeProcess{
		testbed:    &testbed{t: t, address: freeAddress(t)},
		configPath: filepath.Join(t.TempDir(), "config.json"),
		log:        &strings.Builder{},
		exited:     make(chan error, 1),
	}
	list := p.startServers(respond)
	for i := range p.discoveryAddresses {
		l := listenOnLoopback(t)
		p.listeners = append(p.listeners, l)
		p.discoveryAddresses[i] = l.Addr().String()
		go answerPolls(l, func(string) string {
			p.pollCounts[i].Add(1)
			return list
		})
	}
	t.Cleanup(p.closeListeners)
	p.writeConfig(p.discoveryAddresses[0])
	p.cmd = edgeCommand(p.configPath)
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.exited <- p.cmd.Wait() }()
	t.Cleanup(func() { _ = p.cmd.Process.Kill() }) // fails where the process has exited, as it should
	p.waitFor("ready", func() bool { return p.exchangeOnLoopback("GET /up HTTP/1.1\r\nHost: h\r\n\r\n") == 200 })
	return p
}

func (p *edgeProcess) writeConfig(discovery string) {
	p.t.Helper()
	p.writeConfigText(loopbackConfig(p.address, discovery))
}

func (p *edgeProcess) writeConfigText(text string) {
	p.t.Helper()
	if err := os.WriteFile(p.configPath, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

func (p *edgeProcess) signal(signals ...syscall.Signal) {
	p.t.Helper()
	for _, s := range signals {
		if err := p.cmd.Process.Signal(s); err != nil {
			p.t.Fatal(err)
		}
	}
}

// exchangeOnLoopback sends a request on a connection of its own and returns the status of
// its response; 0 or below: there was none.
func (p *edgeProcess) exchangeOnLoopback(request string) (status int) {
	nc, err := net.Dial("tcp", p.address)
	if err != nil {
		return -1
	}
	defer closeIgnoringError(nc)
	if err := nc.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		return -1
	}
	if _, err := nc.Write([]byte(request)); err != nil {
		return -1
	}
	status, _ = readResponse(nc)
	return status
}

// clientLoad is clients that send one request after the other until they are stopped.
type clientLoad struct {
	served, unexpected atomic.Int64
	stop               chan struct{}
	clients            sync.WaitGroup
}

func (p *edgeProcess) startLoad() *clientLoad {
	l := &clientLoad{stop: make(chan struct{})}
	for client := range 3 {
		l.clients.Go(func() {
			for i := 0; !l.stopped(); i++ {
				l.count(p.exchangeOnLoopback(loadRequest(1000*client + i)))
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	return l
}

// loadRequest is a request whose client waits for long: what is asked here is whether a
// response comes, not how soon.
func loadRequest(id int) string {
	return strings.Replace((&testbed{lastRequestNumber: id}).requestText("lookup", ""), "1500", "3000", 1)
}

func (l *clientLoad) stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

// count counts a response. A busy machine may be late, and say so.
func (l *clientLoad) count(status int) {
	if status == 200 {
		l.served.Add(1)
	} else if status <= 0 || status < 500 && status != 429 {
		l.unexpected.Add(1)
	}
}

// A real process under load: new configurations by SIGHUP, one that can't be read
// among them, cost no request; after SIGTERM all that it took is answered and it ends
// well.
func TestSignals(t *testing.T) {
	hold := make(chan struct{}) // the last request's response
	p := startProcess(t, func(n int, id string) (string, bool) {
		if id == "the-last-one" {
			<-hold
		}
		return answerByID(n, id)
	})
	p.checkReloads(t)
	polls := p.checkDrain(t, hold)
	select {
	case err := <-p.exited:
		if err != nil {
			t.Errorf("ended with %v; the log: %s", err, p.log)
		}
	case <-time.After(30 * time.Second):
		t.Fatal("did not end")
	}
	if p.pollCounts[0].Load() == polls {
		t.Error("SIGHUP behind SIGTERM was not heard")
	}
	if !strings.Contains(p.log.String(), "configuration reload failed; keeping the current one") {
		t.Errorf("nothing said of the configuration that can't be read: %s", p.log)
	}
}

// checkReloads sends SIGHUP under load, for another discovery and for a broken file.
func (p *edgeProcess) checkReloads(t *testing.T) {
	t.Helper()
	l := p.startLoad()
	p.writeConfig(p.discoveryAddresses[1])
	p.signal(syscall.SIGHUP)
	p.waitFor("the move of discovery", func() bool { return p.pollCounts[1].Load() > 1 })
	p.writeConfigText("{")
	p.signal(syscall.SIGHUP)
	before := p.pollCounts[1].Load()
	p.waitFor("going on with the old configuration", func() bool { return p.pollCounts[1].Load() > before+1 })
	p.waitFor("enough requests", func() bool { return l.served.Load() > 30 })
	close(l.stop)
	l.clients.Wait()
	if wrong := l.unexpected.Load(); wrong > 0 {
		t.Errorf("%d requests got no answer or a wrong one", wrong)
	}
}

// checkDrain sends SIGTERM twice, and SIGHUP between, while a request is open: the node
// drains once, and hears of the first discovery. It returns how often that had been polled.
func (p *edgeProcess) checkDrain(t *testing.T, hold chan struct{}) (polls int64) {
	t.Helper()
	open := make(chan int, 1)
	text := strings.Replace(p.requestText("loan-change", "the-last-one"), "1500", "2000", 1)
	go func() { open <- p.exchangeOnLoopback(text) }()
	p.waitFor("the last request's attempt", func() bool { return strings.Contains(strings.Join(p.requestsSeen(), " "), "the-last-one") })
	p.writeConfig(p.discoveryAddresses[0])
	polls = p.pollCounts[0].Load()
	p.signal(syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM)
	// What is open holds the node meanwhile.
	for range 150 {
		if p.pollCounts[0].Load() > polls {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	close(hold)
	if status := <-open; status < 200 {
		t.Errorf("what was open at SIGTERM: status %d", status)
	}
	return polls
}

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

	"yardcleat.example/yardcleat/internal/processtest"
)

// childVariable is the environment variable that makes the test binary run an edge node.
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

// An invalid configuration, a missing file or a missing NODE_CONFIG must end the process with status 1
// and one line of output.
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

// edgeProcess is an edge node in a separate process, with two fake servers and two fake discovery
// services on loopback.
type edgeProcess struct {
	*testbed
	configPath         string
	discoveryAddresses [2]string       // of the two discovery services
	pollCounts         [2]atomic.Int64 // number of polls that each has received
	cmd                *exec.Cmd
	log                *processtest.Log
	exited             chan error
}

// startProcess starts the node with the first discovery service and waits until the node is ready.
func startProcess(t *testing.T, respond func(n int, id string) (string, bool)) *edgeProcess {
	t.Helper()
	p := &edgeProcess{
		testbed:    &testbed{t: t, address: processtest.AnyPort},
		configPath: filepath.Join(t.TempDir(), "config.json"),
		log:        processtest.NewLog(),
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
	t.Cleanup(func() { _ = p.cmd.Process.Kill() }) // fails if the process has exited, as it should have
	select {
	case <-p.log.Listened():
		p.address = p.log.Address()
	case err := <-p.exited:
		t.Fatalf("the node did not start: %v: %s", err, p.log)
	}
	p.waitFor("readiness", func() bool { return p.exchangeOnLoopback("GET /up HTTP/1.1\r\nHost: h\r\n\r\n") == 200 })
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

// exchangeOnLoopback sends a request on a new connection and returns the status of the response, or
// 0 or less if there is none.
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

// clientLoad is a set of clients, each of which sends one request after the other until stop is closed.
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

// loadRequest returns a request with a long client timeout: the test checks that a response arrives,
// not how soon.
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

// count counts a response. Statuses 429 and 5xx are not unexpected, because a busy machine may be
// late.
func (l *clientLoad) count(status int) {
	if status == 200 {
		l.served.Add(1)
	} else if status <= 0 || status < 500 && status != 429 {
		l.unexpected.Add(1)
	}
}

// Reloads by SIGHUP under load, one of them with an invalid file, must not cost a request. After
// SIGTERM every open request must get a response, SIGHUP must still be handled, and the process must
// exit with status 0.
func TestSignals(t *testing.T) {
	hold := make(chan struct{}) // holds the response to the last request
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
			t.Errorf("the process exited with %v; log: %s", err, p.log)
		}
	case <-time.After(30 * time.Second):
		t.Fatal("the process did not exit")
	}
	if p.pollCounts[0].Load() == polls {
		t.Error("SIGHUP after SIGTERM was ignored")
	}
	if !strings.Contains(p.log.String(), "configuration reload failed; keeping the current one") {
		t.Errorf("the failed reload was not logged; log: %s", p.log)
	}
}

// checkReloads sends SIGHUP under load, first for another discovery address, then for an invalid
// file.
func (p *edgeProcess) checkReloads(t *testing.T) {
	t.Helper()
	l := p.startLoad()
	p.writeConfig(p.discoveryAddresses[1])
	p.signal(syscall.SIGHUP)
	p.waitFor("polls at the new discovery address", func() bool { return p.pollCounts[1].Load() > 1 })
	p.writeConfigText("{")
	p.signal(syscall.SIGHUP)
	before := p.pollCounts[1].Load()
	p.waitFor("further polls with the previous configuration", func() bool { return p.pollCounts[1].Load() > before+1 })
	p.waitFor("30 served requests", func() bool { return l.served.Load() > 30 })
	close(l.stop)
	l.clients.Wait()
	if unexpected := l.unexpected.Load(); unexpected > 0 {
		t.Errorf("%d requests got no response or an unexpected status", unexpected)
	}
}

// checkDrain sends SIGTERM, SIGHUP and SIGTERM again while a request is open. The node must drain
// once, and the reload must return it to the first discovery address. checkDrain returns the number
// of polls at that address before the signals.
func (p *edgeProcess) checkDrain(t *testing.T, hold chan struct{}) (polls int64) {
	t.Helper()
	open := make(chan int, 1)
	text := strings.Replace(p.requestText("loan-change", "the-last-one"), "1500", "2000", 1)
	go func() { open <- p.exchangeOnLoopback(text) }()
	p.waitFor("the last request's attempt", func() bool { return strings.Contains(strings.Join(p.receivedRequests(), " "), "the-last-one") })
	p.writeConfig(p.discoveryAddresses[0])
	polls = p.pollCounts[0].Load()
	p.signal(syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM)
	// The open request delays the end of the shutdown.
	for range 150 {
		if p.pollCounts[0].Load() > polls {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	close(hold)
	if status := <-open; status < 200 {
		t.Errorf("request open at SIGTERM: status %d", status)
	}
	return polls
}

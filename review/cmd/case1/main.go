// Command case1 has the stand-ins of case 1: an edge node with part of a core answers no request any more once a bad
// client has sent hundreds of requests at once.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"yardcleat.example/yardcleat/review/platform"
)

const (
	nodeCount     = 2
	serverCount   = 4
	stopTime      = 60 * time.Millisecond  // for which the nodes do not run, again and again
	runTime       = 100 * time.Millisecond // for which they run in between
	playTime      = 16 * time.Second
	badClientAt   = 3 * time.Second
	badRequests   = 600
	badClientWait = 10 * time.Millisecond
	requestTime   = 2 * time.Second
	clientCount   = 4 // at each node
	clientPause   = 100 * time.Millisecond
	serviceTime   = 20 * time.Millisecond
	badClientDue  = 3 * time.Second // within which a bad client is owed an error or a close
)

func main() { platform.Main(play) }

// results counts the requests of the usual clients of one node.
type results struct {
	mu                       sync.Mutex
	answered, lost, notTaken int
}

func play(o *platform.Options) (broken bool, err error) {
	list := platform.NewEndpointList()
	for i := range serverCount {
		s, err := platform.NewAppServer(fmt.Sprintf("s-%d", i+1), i/2+1, platform.AnyAddress, serve(fmt.Sprintf("s-%d", i+1), o.Record))
		if err != nil {
			return false, err
		}
		list.Set(s.Endpoint)
	}
	discovery, err := platform.NewDiscovery("d", list, 0, o.Record)
	if err != nil {
		return false, err
	}
	nodes, err := platform.StartNodes(o, nodeCount, discovery.Address, list.Snapshot(), settings())
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var playing sync.WaitGroup
	counts := [nodeCount]results{}
	for i, n := range nodes {
		pid, err := n.PID()
		if err != nil {
			return false, err
		}
		o.Record.Printf("node %d: is held up for %d ms and runs for %d ms, in turn, from now on", i, stopTime.Milliseconds(), runTime.Milliseconds())
		playing.Go(func() { giveShare(pid, stop) })
		for range clientCount {
			playing.Go(func() { sendRequests(n, &counts[i], o.Record, stop) })
		}
	}
	if o.Trouble {
		playing.Go(func() { runBadClient(nodes[0], o.Record, stop) })
	}
	time.Sleep(playTime)
	close(stop)
	playing.Wait()
	return judge(&counts, o.Record), nil
}

func settings() platform.Settings {
	return platform.Settings{
		DialTimeoutMS: 250,
		Classes: []platform.Class{
			{Name: "lookup", Semantics: "repeatable", Group: "all", WindowMS: 5000, AimMS: 800, LimitMS: 3000, Value: 3, LateWorth: 0.2},
			{Name: "loan-change", Semantics: "by_key", Group: "cell", WindowMS: 2000, AimMS: 600, LimitMS: 2000, Value: 2},
		},
	}
}

// serve returns the handler of an app server, which runs each request that it gets.
func serve(name string, record *platform.Record) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Correlation-Id")
		_, _ = io.Copy(io.Discard, r.Body)
		record.Printf("%s: runs %s", name, id)
		time.Sleep(serviceTime)
		_, _ = io.WriteString(w, "answer to "+id)
	}
}

// giveShare has a node run for a part of the time only, until stop is closed.
func giveShare(pid int, stop <-chan struct{}) {
	for {
		_ = syscall.Kill(pid, syscall.SIGSTOP)
		time.Sleep(stopTime)
		_ = syscall.Kill(pid, syscall.SIGCONT)
		select {
		case <-stop:
			return
		case <-time.After(runTime):
		}
	}
}

// sendRequests sends requests to a node, one after another.
func sendRequests(n platform.Node, counts *results, record *platform.Record, stop <-chan struct{}) {
	client := platform.NewClient(n, record)
	defer client.Close()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(clientPause):
		}
		r := platform.Request{ID: platform.NewID(), Class: "lookup", Customer: 7, Time: requestTime, Nodes: nodeCount}
		if i%3 == 2 {
			r.Class, r.Key = "loan-change", "key-"+r.ID
		}
		a := client.Do(r)
		counts.add(a, a.Lost(&r))
	}
}

func (c *results) add(a platform.Answer, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !a.Taken:
		c.notTaken++
	case lost:
		c.lost++
	default:
		c.answered++
	}
}

// runBadClient is the bad client: it does the same again as soon as it is turned away.
func runBadClient(n platform.Node, record *platform.Record, stop <-chan struct{}) {
	wait := badClientAt
	for {
		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
		sendManyAtOnce(n, record, stop)
		wait = badClientWait
	}
}

// sendManyAtOnce sends hundreds of requests at once. The client stays connected until stop is closed, and reads
// whatever it is sent.
func sendManyAtOnce(n platform.Node, record *platform.Record, stop <-chan struct{}) {
	conn, err := net.Dial("tcp", n.Listen)
	if err != nil {
		record.Printf("bad client: %v", err)
		return
	}
	begun := time.Now()
	defer func() { _ = conn.Close() }()
	text := strings.Builder{}
	for range badRequests {
		text.WriteString("GET /api HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: " + platform.NewID() + "\r\nX-Service-Class: lookup\r\n" +
			"X-Plan: county\r\nCookie: key=0000000000000009\r\nX-Time-Left-Ms: 2000\r\nX-Quota: units=1,spread=" + strconv.Itoa(nodeCount) + ",first=0\r\n\r\n")
	}
	record.Printf("bad client: sends %d requests at once to node %d, %d bytes", badRequests, n.Number, text.Len())
	go func() { _, _ = io.WriteString(conn, text.String()) }()
	ended := make(chan string, 1)
	go func() {
		first := make([]byte, 12)
		n, _ := io.ReadFull(conn, first)
		record.Printf("bad client: got %q after %d ms", first[:n], time.Since(begun).Milliseconds())
		rest, err := io.Copy(io.Discard, conn)
		ended <- fmt.Sprintf("%d more bytes, then %v", rest, err)
	}()
	select {
	case how := <-ended:
		record.Printf("bad client: connection ended after %v: %s", time.Since(begun).Round(time.Millisecond), how)
	case <-stop:
		record.Printf("bad client: had neither an error nor a close %v after connecting; %v is owed", time.Since(begun).Round(time.Millisecond), badClientDue)
	}
}

// judge reports whether a request of a usual client was lost.
func judge(counts *[nodeCount]results, record *platform.Record) (broken bool) {
	for i := range counts {
		c := &counts[i]
		record.Printf("judge: node %d: %d requests of usual clients taken, %d answered, %d lost; %d not taken, which do not count", i, c.answered+c.lost, c.answered, c.lost, c.notTaken)
		broken = broken || c.lost > 0
	}
	if !broken {
		return false
	}
	_, _ = fmt.Fprintln(os.Stderr, "requests were lost; see record.txt")
	return true
}

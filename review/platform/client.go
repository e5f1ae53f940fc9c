package platform

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// Request is a client's request.
type Request struct {
	ID       string
	Class    string
	Key      string // "": the class has no key and is GET
	Unsafe   bool   // POST with no key
	Customer uint64
	Time     time.Duration
	Nodes    int
}

// Answer is what a client got.
type Answer struct {
	Status  int // 0: none
	Body    string
	Err     error
	Taken   bool          // the request was written whole to a connection that was accepted
	Elapsed time.Duration // since its last byte was written
}

// answerGrace is by how much an answer may be late without being lost: half a second, and the 50 ms by which every
// time limit is longer on sockets.
const answerGrace = 550 * time.Millisecond

// Lost reports whether a request was taken and had no answer in its time and answerGrace.
func (a *Answer) Lost(r *Request) bool {
	return a.Taken && (a.Status == 0 || a.Elapsed > r.Time+answerGrace)
}

var lastRequest atomic.Uint64

// NewID returns an ID that no other request of the run has.
func NewID() string { return fmt.Sprintf("%08x%08x", uint32(time.Now().Unix()), lastRequest.Add(1)) }

func (r *Request) text() string {
	method, extra, body := "GET", "", ""
	if r.Key != "" || r.Unsafe {
		method, body = "POST", "loan "+r.ID
		extra = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if r.Key != "" {
		extra += "Idempotency-Key: " + r.Key + "\r\n"
	}
	return fmt.Sprintf("%s /api HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\n"+
		"X-Plan: county\r\nCookie: key=%016x\r\nX-Time-Left-Ms: %d\r\nX-Quota: units=1,spread=%d,first=0\r\n%s\r\n%s",
		method, r.ID, r.Class, r.Customer, r.Time.Milliseconds(), r.Nodes, extra, body)
}

// Client sends one request at a time and keeps its connection.
type Client struct {
	node   Node
	record *Record
	conn   net.Conn
	reader *bufio.Reader
}

// NewClient returns a client of an edge node.
func NewClient(node Node, record *Record) *Client { return &Client{node: node, record: record} }

// Do sends a request and waits for the answer, until it is lost. A request that the close of a resting connection has
// crossed is sent once more on a new connection.
func (c *Client) Do(r Request) Answer {
	reused := c.conn != nil
	answer, nothingCame := c.try(r)
	if reused && nothingCame {
		answer, _ = c.try(r)
	}
	c.record.Printf("client: %s %s: status %d, %d ms after its last byte, taken %t, lost %t, error %v", r.Class, r.ID, answer.Status,
		answer.Elapsed.Milliseconds(), answer.Taken, answer.Lost(&r), answer.Err)
	return answer
}

// try sends a request once. nothingCame reports that the connection ended before the first byte of an answer.
func (c *Client) try(r Request) (answer Answer, nothingCame bool) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.node.Listen, time.Second)
		if err != nil {
			return Answer{Err: err}, false
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	c.record.Printf("client: sends %s %s to node %d, key %q, time %d ms", r.Class, r.ID, c.node.Number, r.Key, r.Time.Milliseconds())
	_ = c.conn.SetDeadline(time.Now().Add(r.Time + answerGrace))
	if _, err := io.WriteString(c.conn, r.text()); err != nil {
		c.Close()
		return Answer{Err: err}, true
	}
	written := time.Now()
	_ = c.conn.SetDeadline(written.Add(r.Time + answerGrace))
	answer, nothingCame = c.read()
	answer.Taken = true
	answer.Elapsed = time.Since(written)
	return answer, nothingCame
}

// read reads the answer.
func (c *Client) read() (answer Answer, nothingCame bool) {
	if _, err := c.reader.Peek(1); err != nil {
		c.Close()
		return Answer{Err: err}, !errors.Is(err, os.ErrDeadlineExceeded)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.Close()
		return Answer{Err: err}, false
	}
	body, err := io.ReadAll(response.Body)
	if err != nil || response.Close {
		c.Close()
	}
	return Answer{Status: response.StatusCode, Body: string(body), Err: err}, false
}

// Close closes the connection; the next request opens another.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// AwaitReady waits until a node answers GET /up with 200.
func AwaitReady(address string, limit time.Duration) error {
	end := time.Now().Add(limit)
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for time.Now().Before(end) {
		response, err := client.Get("http://" + address + "/up")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("node at %s is not ready after %v", address, limit)
}

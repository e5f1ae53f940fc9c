package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
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
	Elapsed time.Duration
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
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// NewClient returns a client of the edge node at an address.
func NewClient(address string) *Client { return &Client{address: address} }

// Do sends a request and waits for the answer, for half a second longer than the request's time. A request that the
// close of a resting connection has crossed is sent once more on a new connection.
func (c *Client) Do(r Request) Answer {
	begun := time.Now()
	reused := c.conn != nil
	answer, nothingCame := c.try(r)
	if reused && nothingCame {
		answer, _ = c.try(r)
	}
	answer.Elapsed = time.Since(begun)
	return answer
}

// try sends a request once. nothingCame reports that the connection ended before the first byte of an answer.
func (c *Client) try(r Request) (answer Answer, nothingCame bool) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return Answer{Err: err}, false
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(r.Time + 500*time.Millisecond))
	if _, err := io.WriteString(c.conn, r.text()); err != nil {
		c.Close()
		return Answer{Err: err}, true
	}
	if _, err := c.reader.Peek(1); err != nil {
		c.Close()
		timeout, isNet := err.(net.Error) //nolint:errorlint // a deadline error of net is not wrapped
		return Answer{Err: err}, !isNet || !timeout.Timeout()
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

package edgekit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Request is a request of a client.
type Request struct {
	ID       string
	Class    string
	Plan     string
	Customer uint64
	TimeLeft int
	Key      string // "": GET without a body
	Post     bool   // POST without a key
	Quota    string // "": units=1,spread=1,first=0
	Body     string
	Retry    bool
}

// Text returns the request as it is sent.
func (r Request) Text() string {
	var b strings.Builder
	method := "GET"
	if r.Key != "" || r.Post {
		method = "POST"
	}
	quota := r.Quota
	if quota == "" {
		quota = "units=1,spread=1,first=0"
	}
	fmt.Fprintf(&b, "%s /api HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Plan: %s\r\n", method, r.ID, r.Class, r.Plan)
	fmt.Fprintf(&b, "Cookie: key=%016x\r\nX-Time-Left-Ms: %d\r\nX-Quota: %s\r\n", r.Customer, r.TimeLeft, quota)
	if r.Retry {
		b.WriteString("X-Repeat: 1\r\n")
	}
	if r.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", r.Key)
	}
	if method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	return b.String() + "\r\n" + r.Body
}

// Reply is what a client got.
type Reply struct {
	Status int // 0: no whole answer
	Body   string
	Header http.Header
	Err    error
	Took   time.Duration
}

// Client is one connection of a client.
type Client struct {
	net.Conn
	reader *bufio.Reader
}

// Dial connects to a node.
func Dial(address string) (*Client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{Conn: c, reader: bufio.NewReader(c)}, nil
}

// Exchange sends a request and reads its answer.
func (c *Client) Exchange(text, method string, timeout time.Duration) Reply {
	start := time.Now()
	_ = c.SetDeadline(start.Add(timeout))
	if _, err := io.WriteString(c.Conn, text); err != nil {
		return Reply{Err: err, Took: time.Since(start)}
	}
	return c.Read(method, start)
}

// Read reads an answer.
func (c *Client) Read(method string, start time.Time) Reply {
	res, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return Reply{Err: err, Took: time.Since(start)}
	}
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return Reply{Err: err, Took: time.Since(start)}
	}
	return Reply{Status: res.StatusCode, Body: string(b), Header: res.Header, Took: time.Since(start)}
}

// Close closes the connection.
func (c *Client) Close() { _ = c.Conn.Close() }

package main

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// clientConn is a connection of a client.
type clientConn struct {
	net.Conn
	reader      *bufio.Reader
	connectedAt time.Time
	wasUsed     bool // a response was received on it
}

func newClientConn(nc net.Conn) *clientConn {
	return &clientConn{Conn: nc, reader: bufio.NewReader(nc), connectedAt: time.Now()}
}

// clientResponse is a response that a client has received.
type clientResponse struct {
	status           int
	body             string
	closesConnection bool // the connection must not be used again
}

// read reads one complete response.
func (c *clientConn) read(deadline time.Time) (received clientResponse, err error) {
	if err := c.SetReadDeadline(deadline); err != nil {
		return received, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return received, err
	}
	body, err := io.ReadAll(response.Body)
	c.wasUsed = true
	return clientResponse{response.StatusCode, string(body), response.Close}, err
}

// sentRequest is a request and its outcome, as its client observed them.
type sentRequest struct {
	class          string
	sentAt         time.Time // when its last byte was written; zero: the connection ended before that
	connectedAt    time.Time // when its connection was made
	isFollowing    bool      // another request was answered on its connection before
	disconnectedAt time.Time // zero: the client did not close its connection before the response
	respondedAt    time.Time // zero: there was no response
	err            error     // that ended the wait for the response
	endedAt        time.Time // when it did
	isMismatched   bool      // the response was for another request
}

// clientTimeout is how long clients wait for a response, if the node's deadlines are no shorter. Their requests carry it.
const clientTimeout = 3 * time.Second

// lateResponseGrace is how long clients continue to read after their timeout, to distinguish a late response from none.
const lateResponseGrace = time.Second

// clientPopulation is all clients of a node.
type clientPopulation struct {
	node            *nodeProcess
	seed            uint64
	timeout         time.Duration // for which clients wait for a response
	stopped         chan struct{}
	clients         sync.WaitGroup
	idleConnections sync.WaitGroup // of openIdleConnections
	mu              sync.Mutex
	lastNumber      uint64                  // of a request
	requests        map[string]*sentRequest // by id
}

func newClientPopulation(node *nodeProcess, seed uint64, timeout time.Duration) *clientPopulation {
	return &clientPopulation{node: node, seed: seed, timeout: timeout, lastNumber: readinessNumber, stopped: make(chan struct{}), requests: map[string]*sentRequest{}}
}

// stop ends all clients, after each has received its current response or its connection has ended.
func (p *clientPopulation) stop() {
	close(p.stopped)
	p.clients.Wait()
	p.idleConnections.Wait()
}

func (p *clientPopulation) isStopped() bool {
	select {
	case <-p.stopped:
		return true
	default:
		return false
	}
}

// client sends one request after another.
type client struct {
	*clientPopulation
	random                 *rand.Rand
	conn                   *clientConn
	disconnectsEarly       bool          // closes its connection before some responses
	pieceDelay             time.Duration // time between the pieces in which it writes; 0: writes at once
	ignoresConnectionClose bool          // reuses a connection until the node closes it
}

// start starts a client, after behave has set its behavior.
func (p *clientPopulation) start(number int, behave func(*client)) {
	c := &client{clientPopulation: p, random: rand.New(rand.NewPCG(p.seed, uint64(number)))}
	c.ignoresConnectionClose = c.random.IntN(2) == 0
	behave(c)
	p.clients.Go(c.run)
}

// redialDelay is how long a client waits after a failed connection.
const redialDelay = 50 * time.Millisecond

func (c *client) run() {
	defer c.closeConnection()
	for !c.isStopped() {
		if c.conn == nil && !c.dial() {
			time.Sleep(redialDelay)
			continue
		}
		c.exchange()
		time.Sleep(time.Duration(c.random.IntN(20)) * time.Millisecond)
	}
}

func (c *client) dial() bool {
	conn, err := net.DialTimeout("tcp", c.node.address, clientTimeout)
	if err != nil {
		return false
	}
	c.conn = newClientConn(conn)
	return true
}

func (c *client) closeConnection() {
	if c.conn != nil {
		_ = c.conn.Close() // the node may have closed it
		c.conn = nil
	}
}

// exchange sends a request and reads the response, or closes the connection before that.
func (c *client) exchange() {
	class := []string{classIdempotent, classIdempotentWithKey, classNonIdempotent}[c.random.IntN(3)]
	request, id := c.newRequest(class)
	writeErr := c.write(requestText(c.node.edge, class, id, c.timeout)) // the node may have rejected it before its end
	if writeErr == nil {
		c.recordSent(request)
	}
	if c.disconnectsEarly && c.random.IntN(3) == 0 {
		time.Sleep(time.Duration(c.random.IntN(80)) * time.Millisecond)
		c.closeConnection()
		c.mu.Lock()
		request.disconnectedAt = time.Now()
		c.mu.Unlock()
		return
	}
	response, err := c.conn.read(time.Now().Add(c.timeout + lateResponseGrace))
	c.finish(request, response, err, id)
	if writeErr != nil || err != nil || response.closesConnection && !c.ignoresConnectionClose {
		c.closeConnection()
	}
}

func (p *clientPopulation) newRequest(class string) (request *sentRequest, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastNumber++
	id = p.node.requestID(p.lastNumber)
	request = &sentRequest{class: class}
	p.requests[id] = request
	return request, id
}

// recordSent records that a request was written to the client's connection.
func (c *client) recordSent(request *sentRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request.sentAt = time.Now()
	request.connectedAt = c.conn.connectedAt
	request.isFollowing = c.conn.wasUsed
}

// finish records the outcome of a request.
func (p *clientPopulation) finish(request *sentRequest, response clientResponse, err error, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		request.err = err
		request.endedAt = time.Now()
		return
	}
	request.respondedAt = time.Now()
	request.isMismatched = response.status == http.StatusOK && !strings.HasPrefix(response.body, "for "+id)
}

// write writes a request, in pieces if pieceDelay is set.
func (c *client) write(text string) error {
	if c.pieceDelay == 0 {
		_, err := io.WriteString(c.conn, text)
		return err
	}
	for len(text) > 0 {
		n := min(len(text), 1+c.random.IntN(len(text)))
		if _, err := io.WriteString(c.conn, text[:n]); err != nil {
			return err
		}
		text = text[n:]
		time.Sleep(c.pieceDelay)
	}
	return nil
}

// openIdleConnections opens connections that send nothing until the clients stop.
func (p *clientPopulation) openIdleConnections(count int) {
	for range count {
		p.idleConnections.Go(func() {
			conn, err := net.DialTimeout("tcp", p.node.address, clientTimeout)
			if err != nil {
				return
			}
			<-p.stopped
			_ = conn.Close() // the node may have closed it
		})
	}
}

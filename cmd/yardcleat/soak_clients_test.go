package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func newClientConn(nc net.Conn) *clientConn { return &clientConn{nc, bufio.NewReader(nc)} }

// clientResponse is one answer.
type clientResponse struct {
	status           int
	body             string
	closesConnection bool // the connection is not to be used again
}

// read reads one answer, whole.
func (c *clientConn) read(deadline time.Time) (answer clientResponse, err error) {
	if err := c.SetReadDeadline(deadline); err != nil {
		return answer, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer, err
	}
	body, err := io.ReadAll(response.Body)
	return clientResponse{response.StatusCode, string(body), response.Close}, err
}

// sentRequest is a request as its client saw it.
type sentRequest struct {
	class          string
	sentAt         time.Time
	disconnectedAt time.Time // zero: the client has not closed its connection before the answer
	respondedAt    time.Time // zero: there was no answer
	err            error     // that ended the wait for it
	isMismatched   bool      // the answer was for another request
}

// clientTimeout is how long clients wait, and what they tell the node.
const clientTimeout = 3 * time.Second

// lateResponseGrace is how long clients read on after their time, to tell a late answer from none.
const lateResponseGrace = time.Second

// clientPopulation is the clients of a node.
type clientPopulation struct {
	node            *nodeProcess
	seed            uint64
	stopped         chan struct{}
	clients         sync.WaitGroup
	idleConnections sync.WaitGroup // of clients that only hold a connection
	mu              sync.Mutex
	lastID          int
	requests        map[string]*sentRequest // by id
}

func newClientPopulation(node *nodeProcess, seed uint64) *clientPopulation {
	return &clientPopulation{node: node, seed: seed, stopped: make(chan struct{}), requests: map[string]*sentRequest{}}
}

// stop ends all clients; those that wait for an answer read on until the node's end.
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

// client is one that sends a request after the other.
type client struct {
	*clientPopulation
	random                 *rand.Rand
	conn                   *clientConn
	disconnectsEarly       bool          // it closes its connection before some answers
	pieceDelay             time.Duration // it writes in pieces, so far apart; 0: at once
	ignoresConnectionClose bool          // it uses a connection on until that is closed
}

// start starts a client.
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
	nc, err := net.DialTimeout("tcp", c.node.address, clientTimeout)
	if err != nil {
		return false
	}
	c.conn = newClientConn(nc)
	return true
}

func (c *client) closeConnection() {
	if c.conn != nil {
		_ = c.conn.Close() // the node may have closed it
		c.conn = nil
	}
}

// exchange sends a request and reads its answer, or leaves before that.
func (c *client) exchange() {
	class := []string{classIdempotent, classIdempotentWithKey, classNonIdempotent}[c.random.IntN(3)]
	r, id := c.newRequest(class)
	if err := c.write(requestText(c.node.edge, class, id, clientTimeout)); err != nil {
		c.finish(r, clientResponse{}, err, id)
		c.closeConnection()
		return
	}
	if c.disconnectsEarly && c.random.IntN(3) == 0 {
		time.Sleep(time.Duration(c.random.IntN(80)) * time.Millisecond)
		c.closeConnection()
		c.mu.Lock()
		r.disconnectedAt = time.Now()
		c.mu.Unlock()
		return
	}
	answer, err := c.conn.read(time.Now().Add(clientTimeout + lateResponseGrace))
	c.finish(r, answer, err, id)
	if err != nil || answer.closesConnection && !c.ignoresConnectionClose {
		c.closeConnection()
	}
}

func (p *clientPopulation) newRequest(class string) (r *sentRequest, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	id = fmt.Sprintf("%016x", p.lastID)
	r = &sentRequest{class: class, sentAt: time.Now()}
	p.requests[id] = r
	return r, id
}

// finish records what came of a request.
func (p *clientPopulation) finish(r *sentRequest, answer clientResponse, err error, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		r.err = err
		return
	}
	r.respondedAt = time.Now()
	r.isMismatched = answer.status == http.StatusOK && !strings.HasPrefix(answer.body, "for "+id)
}

// write writes a request, in pieces where the client is slow.
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
			nc, err := net.DialTimeout("tcp", p.node.address, clientTimeout)
			if err != nil {
				return
			}
			<-p.stopped
			_ = nc.Close() // the node may have closed it
		})
	}
}

package http1

import (
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/memory"
	"yardcleat.example/yardcleat/internal/pauseclock"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy/connections"
)

// serveRequest serves one request. It returns false if the connection is to be closed.
func (c *conn) serveRequest() bool {
	c.memory.beginRequest(c)
	c.setReadTimeout(c.server.options.HeaderTimeout)
	head, err := c.reader.Request()
	if err != nil {
		return c.reject(head, err)
	}
	call := node.HTTPRequest{Method: head.Method, Target: head.Target, Host: head.Host, Header: head.Header.EndToEnd()}
	call.Header.Del("Host") // it is call.Host
	if expect := call.Header.Get("Expect"); expect != "" {
		if expect != "100-continue" {
			return c.reject(head, &http1.Error{Status: 417, Text: "expectation other than 100-continue"})
		}
		call.Header.Del("Expect")
		if head.Framing != http1.NoBody && c.reader.Buffered() == 0 && !c.write(c.server.options.WriteTimeout, []byte("HTTP/1.1 100 Continue\r\n\r\n")) {
			return false
		}
	}
	if head.Framing != http1.NoBody {
		c.setReadTimeout(c.server.options.BodyTimeout)
		if call.Body, err = c.reader.Body(head.Framing, head.Length); err != nil {
			return c.reject(head, err)
		}
	}
	if !c.memory.endReading() {
		return c.reject(head, memory.ErrNoRoom)
	}
	admitted := c.server.connections.Complete(c.entry)
	return c.respond(head, call, admitted)
}

// respond handles a complete request and writes the response. It returns false if the connection is to be closed.
func (c *conn) respond(head *http1.Request, call node.HTTPRequest, admitted bool) bool {
	request, early := c.server.options.Mapper.Admit(call, c.server.options.TracePrefix+"-"+strconv.FormatUint(c.server.traceCounter.Add(1), 36))
	var final node.FinalResponse
	timeout := c.server.options.WriteTimeout
	switch {
	case early != nil:
		final = *early
		c.logEarlyResponse(request, final)
	case !admitted || c.isTooFarAhead():
		final = c.overload()
		c.logEarlyResponse(request, final)
		timeout = min(timeout, rejectionTimeout)
	default:
		request.ClientAddress, request.LocalAddress = c.netConn.RemoteAddr().String(), c.netConn.LocalAddr().String()
		if final = c.submit(request); c.disconnected {
			return false
		}
	}
	return c.writeFinalResponse(head, c.server.options.Mapper.Render(request, final), timeout)
}

// rejectionTimeout is the time for a client to receive the rejection of a request that was not handled. It is
// shorter than that of other responses, since places for connections are short then.
const rejectionTimeout = time.Second

// overload returns the final response to a request that is not handled, so that its client may send it elsewhere.
func (c *conn) overload() node.FinalResponse {
	if c.server.connections.Phase() >= connections.Aborting {
		return node.FinalResponse{Kind: node.Rejected, Reason: node.ReasonDraining, Detail: "the time for requests is over"}
	}
	return node.FinalResponse{Kind: node.Rejected, Reason: node.ReasonOverload, Detail: "too many requests in flight, or sent ahead"}
}

func (c *conn) logEarlyResponse(request *node.Request, final node.FinalResponse) {
	c.server.options.Log.Info("answer", "answer", final.Kind.String(), "trace", request.Trace, "class", request.Class, "customer", request.Customer,
		"reason", string(final.Reason), "detail", final.Detail)
}

// writeFinalResponse writes a response. It returns false if the connection is to be closed.
func (c *conn) writeFinalResponse(head *http1.Request, response *node.Response, timeout time.Duration) bool {
	closing := !head.KeepAlive() || c.isClosing()
	if len(response.Body) > maxCopiedBody && head.Method != "HEAD" {
		c.buf = http1.AppendResponseHead(c.buf[:0], head.Method, response.Status, response.Header, len(response.Body), closing)
		return c.writeResponse(timeout, c.buf, response.Body) && !closing
	}
	c.buf = http1.AppendResponse(c.buf[:0], head.Method, response.Status, response.Header, response.Body, closing)
	return c.writeResponse(timeout, c.buf) && !closing
}

// isClosing reports whether the connection is closed after the response because the server shuts down, or for another.
// Requests that are read already are owed a response, and in a shutdown all that the client has sent ahead, until the
// last moment.
func (c *conn) isClosing() bool {
	phase, action := c.server.connections.Status(c.entry)
	if c.reader.Buffered() > 0 {
		return false
	}
	return action == connections.Shed || phase >= connections.Aborting || phase >= connections.Draining && !c.HasUnreadData()
}

// isTooFarAhead reports whether the client has sent so much ahead that it can't be noticed if it disconnects. Its
// requests are rejected until all that it has sent is read.
func (c *conn) isTooFarAhead() bool {
	c.sentTooFarAhead = c.sentTooFarAhead && (c.reader.Buffered() > 0 || c.HasUnreadData())
	return c.sentTooFarAhead
}

// submit submits a request to the node and waits for its final response, or for the client to
// disconnect. A client that closes its sending side counts as disconnected.
func (c *conn) submit(request *node.Request) (final node.FinalResponse) {
	_ = c.netConn.SetReadDeadline(time.Time{})
	request.Arrived = c.arrived
	request.Client = c
	request.Memory = c.memory.request
	disconnected := c.server.options.Node.Submit(request, func(final node.FinalResponse) { c.finalResponses <- final })
	watched := make(chan error, 1)
	go func() { watched <- c.watchForDisconnect() }()
	var err error
	select {
	case final = <-c.finalResponses:
		_ = c.netConn.SetReadDeadline(longAgo) // ends watchForDisconnect
		err = <-watched
	case err = <-watched:
		pauseclock.SuspendReading(c.netConn)
		disconnected()
		final = <-c.finalResponses // the node replies in any case
		if errors.Is(err, http1.ErrPipelineTooLong) {
			// It could no longer be detected whether this client disconnects.
			final = node.FinalResponse{Kind: node.Failed, Reason: node.ReasonTooLarge, Detail: "requests sent ahead"}
		}
	}
	c.sentTooFarAhead = errors.Is(err, http1.ErrPipelineTooLong)
	ended := !c.sentTooFarAhead && !errors.Is(err, os.ErrDeadlineExceeded)
	c.disconnected = ended || final.Reason == node.ReasonClientDisconnected
	return final
}

// AwaitReceived returns at once, because Disconnected needs none of what the client has sent.
func (c *conn) AwaitReceived() {}

// Disconnected reports whether the client has closed the connection or its sending side.
func (c *conn) Disconnected() bool { return pauseclock.PeerClosed(c.netConn) }

// watchForDisconnect returns when the client disconnects. Bytes that arrive in the meantime
// belong to pipelined requests, which stay buffered until the current one is answered.
func (c *conn) watchForDisconnect() error {
	for {
		if err := c.reader.Await(); err != nil {
			return err
		}
		if c.nextArrived.IsZero() {
			c.nextArrived = pauseclock.ArrivalTime(c.netConn)
		}
	}
}

// reject responds to a request that could not be read, unless the client has disconnected. It
// returns false: the connection is to be closed.
func (c *conn) reject(head *http1.Request, err error) bool {
	status, reason := c.rejection(err)
	if status == 0 {
		c.disconnected = true
		return false
	}
	c.server.options.Log.Info("answer", "answer", node.Rejected.String(), "reason", string(reason), "detail", err.Error(),
		"client", c.netConn.RemoteAddr().String())
	c.server.connections.RecordEnd(c.entry, connections.Reject, endReasonOf(status, reason))
	response := c.server.options.Mapper.Render(nil, node.FinalResponse{Kind: node.Rejected, Reason: reason, Detail: err.Error()})
	method := ""
	if head != nil {
		method = head.Method
	}
	c.buf = http1.AppendResponse(c.buf[:0], method, status, response.Header, response.Body, true)
	c.writeResponse(min(c.server.options.WriteTimeout, rejectionTimeout), c.buf)
	return false
}

// endReasonOf returns why a connection ends after the rejection of a request.
func endReasonOf(status int, reason node.Reason) connections.Reason {
	switch {
	case reason == node.ReasonDraining:
		return connections.Shutdown
	case reason == node.ReasonOverload:
		return connections.Memory
	case status == http.StatusRequestTimeout:
		return connections.Timeout
	default:
		return connections.Malformed
	}
}

// rejection returns the status and the reason for a request that could not be read. The status is 0 if the connection
// has ended, in the middle of the request or before its first byte.
func (c *conn) rejection(err error) (status int, reason node.Reason) {
	var protocolError *http1.Error
	_, endReason := c.server.connections.Action(c.entry)
	switch {
	case errors.As(err, &protocolError) && protocolError.Status == http.StatusRequestEntityTooLarge:
		return protocolError.Status, node.ReasonTooLarge
	case errors.As(err, &protocolError):
		return protocolError.Status, node.ReasonBadRequest
	case errors.Is(err, memory.ErrNoRoom) || endReason == connections.Memory:
		c.server.logShortage()
		return http.StatusServiceUnavailable, node.ReasonOverload
	case errors.Is(err, os.ErrDeadlineExceeded) && (endReason == connections.Shutdown || c.server.connections.Phase() >= connections.Stopped):
		return http.StatusServiceUnavailable, node.ReasonDraining
	case errors.Is(err, os.ErrDeadlineExceeded) && endReason != connections.NoReason:
		return http.StatusServiceUnavailable, node.ReasonOverload
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, node.ReasonBadRequest
	}
	return 0, node.ReasonNone
}

// maxCopiedBody is the longest body, in bytes, that is copied into the connection's buffer
// behind its header. Longer ones are written separately, so that the buffer stays small.
const maxCopiedBody = 16 << 10

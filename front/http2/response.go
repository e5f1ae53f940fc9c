package http2

import (
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"yardcleat.example/yardcleat/internal/h2"
	"yardcleat.example/yardcleat/internal/memory"
	"yardcleat.example/yardcleat/node"
)

// handleRequest submits a request to the node and writes the final response.
func (c *conn) handleRequest(st *stream) {
	o := &c.server.options
	request, early := o.Mapper.Admit(st.request, o.TracePrefix+"-"+strconv.FormatUint(c.server.traceCounter.Add(1), 36))
	var final node.FinalResponse
	if early != nil {
		final = *early
		o.Log.Info("answer", "answer", final.Kind.String(), "trace", request.Trace, "class", request.Class, "customer", request.Customer,
			"reason", string(final.Reason), "detail", final.Detail)
	} else {
		request.ClientAddress, request.LocalAddress = c.netConn.RemoteAddr().String(), c.netConn.LocalAddr().String()
		request.Arrived = st.arrivedAt
		request.Client = st
		request.Memory = st.memory
		finalResponses := make(chan node.FinalResponse, 1)
		disconnected := o.Node.Submit(request, func(final node.FinalResponse) { finalResponses <- final })
		select {
		case final = <-finalResponses:
		case <-st.abortSignal:
			disconnected()
			final = <-finalResponses // the node always replies
		}
		if st.isAborted() || final.Reason == node.ReasonClientDisconnected {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.removeLocked(st)
			return
		}
	}
	c.respond(st, o.Mapper.Render(request, final))
}

// reject responds to a request that is not submitted to the node. The caller has claimed the stream.
func (c *conn) reject(st *stream, status int, detail string) {
	reason := node.ReasonBadRequest
	if status == 413 {
		reason = node.ReasonTooLarge
	}
	c.server.options.Log.Info("answer", "answer", node.Rejected.String(), "reason", string(reason), "detail", detail,
		"client", c.netConn.RemoteAddr().String())
	res := c.server.options.Mapper.Render(nil, node.FinalResponse{Kind: node.Rejected, Reason: reason, Detail: detail})
	res.Status = status
	c.respond(st, res)
}

// respond writes a response, as the client's flow-control windows allow, within the write
// timeout. Then it removes the stream.
func (c *conn) respond(st *stream, res *node.Response) {
	body := res.Body
	if st.request.Method == "HEAD" || res.Status == 204 || res.Status == 304 {
		body = nil
	}
	err := c.write(func() error {
		c.mu.Lock()
		aborted := st.aborted
		c.mu.Unlock()
		if aborted {
			return nil
		}
		c.headerBuffer.Reset()
		c.headerEncoder.WriteField(hpack.HeaderField{Name: ":status", Value: strconv.Itoa(res.Status)})
		for _, f := range res.Header {
			c.headerEncoder.WriteField(hpack.HeaderField{Name: strings.ToLower(f.Name), Value: f.Value})
		}
		if res.Status != 204 && res.Status != 304 && st.request.Method != "HEAD" {
			c.headerEncoder.WriteField(hpack.HeaderField{Name: "content-length", Value: strconv.Itoa(len(body))})
		}
		return h2.WriteHeaderBlock(c.framer, st.id, c.headerBuffer.Bytes(), len(body) == 0)
	})
	if err == nil && len(body) > 0 {
		timer := time.AfterFunc(c.server.options.WriteTimeout, func() {
			c.mu.Lock()
			timedOut := c.streams[st.id] == st && !st.aborted
			if timedOut {
				c.abortLocked(st)
			}
			c.mu.Unlock()
			if timedOut {
				c.write(func() error { return c.framer.WriteRSTStream(st.id, http2.ErrCodeCancel) })
			}
		})
		st.memory.Wait(time.Now(), memory.Response)
		c.sendBody(st, body)
		st.memory.StopWaiting()
		timer.Stop()
	}
	if err == nil && !c.hasCompleteBody(st) {
		// The request was not received completely: with NO_ERROR after the response, the client
		// need not send the rest (RFC 9113, 8.1).
		c.write(func() error { return c.framer.WriteRSTStream(st.id, http2.ErrCodeNo) })
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeLocked(st)
}

// sendBody writes a response body, and waits for the windows where necessary. It stops if the
// stream is aborted or the connection ends.
func (c *conn) sendBody(st *stream, body []byte) {
	for len(body) > 0 {
		c.mu.Lock()
		for !st.aborted && !c.ended && (st.sendWindow <= 0 || c.sendWindow <= 0) {
			c.changed.Wait()
		}
		if st.aborted || c.ended {
			c.mu.Unlock()
			return
		}
		n := int(min(int64(len(body)), st.sendWindow, c.sendWindow, int64(c.maxSendFrameSize)))
		st.sendWindow, c.sendWindow = st.sendWindow-int64(n), c.sendWindow-int64(n)
		c.windowUpdateCredit += int64(n)
		c.mu.Unlock()
		part := body[:n]
		body = body[n:]
		if c.write(func() error { return c.framer.WriteData(st.id, len(body) == 0, part) }) != nil {
			return
		}
	}
}

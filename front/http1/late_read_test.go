package http1

import (
	"log/slog"
	"net"
	"os"
	"testing"
	"time"

	"yardcleat.example/yardcleat/internal/http1"
)

// lateConn is a connection of which one read ends with its time over, though bytes have arrived: the process did not run.
type lateConn struct {
	net.Conn
	lateRead int // number of that read
	reads    int
}

func (c *lateConn) Read(b []byte) (int, error) {
	if c.reads++; c.reads == c.lateRead {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(b)
}

// Readable reports that bytes have arrived.
func (c *lateConn) Readable() bool { return true }

// Guards against a request that is rejected because its connection's time was over before the process ran again, though
// all of the request had come in time.
func TestRequestThatCameBeforeTheTimeWasOverIsServed(t *testing.T) {
	for lateRead := 1; lateRead <= 3; lateRead++ {
		for _, firstRequestTimeout := range []time.Duration{0, time.Nanosecond} {
			serverSide, clientSide := net.Pipe()
			n := &fakeNode{submitted: make(chan string, 10), allowReply: make(chan struct{}, 10), disconnected: make(chan string, 10)}
			limits := http1.Limits{MaxLineBytes: 1000, MaxHeaderFields: 10, MaxHeaderBytes: 4000, MaxBodyBytes: 1000}
			s := New(Options{Node: n, Mapper: fakeMapper{}, Log: slog.New(slog.DiscardHandler), Limits: limits, HeaderTimeout: time.Minute, BodyTimeout: time.Minute,
				IdleTimeout: time.Minute, WriteTimeout: time.Minute, FirstRequestTimeout: firstRequestTimeout, Connections: limiter(10)})
			served := make(chan struct{})
			go func() {
				s.ServeConn(&lateConn{Conn: serverSide, lateRead: lateRead})
				close(served)
			}()
			go func() {
				for _, piece := range []string{"POST /r HTTP/1.1\r\n", "Host: h\r\nContent-Length: 4\r\n\r\n", "body"} {
					_, _ = clientSide.Write([]byte(piece))
				}
			}()
			n.allowReply <- struct{}{}
			reader := http1.NewReader(clientSide, limits)
			if response, err := reader.Response("GET"); err != nil || response.Status != 200 {
				t.Errorf("read %d is late: %+v, %v", lateRead, response, err)
			}
			go reader.Discard(1000)
			_ = clientSide.Close()
			<-served
		}
	}
}

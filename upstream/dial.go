package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// dialRetryDelay is the time until a connection is tried again that failed for want of something on this host.
const dialRetryDelay = 5 * time.Millisecond

// shortages are the errors of socket(2) and connect(2) that say that this host lacks something: descriptors, memory or
// a port. They say nothing about the server.
var shortages = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// isShortage reports whether an error of a dial is one of shortages.
func isShortage(err error) bool {
	for _, shortage := range shortages {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

// dial connects to a server. What fails for want of something on this host, or of a route, may fail for a moment only: it
// is tried again until the context ends.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	for {
		netConn, err := p.options.Network.Dial(ctx, address)
		if err == nil || !isShortage(err) && !errors.Is(err, syscall.ENETUNREACH) {
			return netConn, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(dialRetryDelay):
		}
	}
}

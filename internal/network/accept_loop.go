package network

import (
	"errors"
	"log/slog"
	"net"
	"time"
)

// AcceptLoop takes connections and has each served in a goroutine of its own, until
// the listener is closed. Other errors (out of descriptors, say) pass: it waits a
// moment and goes on.
func AcceptLoop(l net.Listener, log *slog.Logger, serve func(net.Conn)) error {
	const moment = 10 * time.Millisecond
	for {
		nc, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			log.Warn("accept failed", "error", err)
			time.Sleep(moment)
		default:
			go serve(nc)
		}
	}
}

package network

import (
	"errors"
	"log/slog"
	"net"
	"time"
)

// AcceptLoop accepts connections and calls serve for each in a new goroutine. It returns
// nil when the listener is closed. It logs other errors, such as a lack of file
// descriptors, and retries after a delay, since they are temporary.
func AcceptLoop(l net.Listener, log *slog.Logger, serve func(net.Conn)) error {
	const retryDelay = 10 * time.Millisecond
	for {
		nc, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			log.Warn("accept failed", "error", err)
			time.Sleep(retryDelay)
		default:
			go serve(nc)
		}
	}
}

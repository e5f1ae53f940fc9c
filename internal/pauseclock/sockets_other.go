//go:build !linux

package pauseclock

import "net"

// prober knows only what can say so itself.
func prober(s any) func() bool {
	if m, ok := s.(interface{ Readable() bool }); ok {
		return m.Readable
	}
	return func() bool { return false }
}

func readerOf(nc net.Conn, probe func() bool) reader { return &plain{nc, probe} }

//go:build !linux

package pauseclock

import "net"

// readableFunc knows only what can say so itself.
func readableFunc(s any) func() bool {
	if m, ok := s.(interface{ Readable() bool }); ok {
		return m.Readable
	}
	return func() bool { return false }
}

func newConnReader(nc net.Conn, readable func() bool) connReader { return &plainReader{nc, readable} }

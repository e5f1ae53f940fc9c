//go:build !linux

package pauseclock

import "net"

// pollFunc returns a function that always returns false: sockets are not polled on this system.
func pollFunc(any) func() bool { return neverReadable }

// newConnReader returns a reader without timestamps.
func newConnReader(nc net.Conn, readable func() bool) connReader { return &plainReader{nc, readable} }

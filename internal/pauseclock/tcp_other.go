//go:build !linux

package pauseclock

import "net"

// pollFunc returns a function that always returns false: sockets are not polled on this system.
func pollFunc(any) func() bool { return unknown }

// pollPeerClosedFunc returns a function that always returns false, for the same reason.
func pollPeerClosedFunc(any) func() bool { return unknown }

// newConnReader returns a reader without timestamps.
func newConnReader(nc net.Conn, readable func() bool) connReader { return &plainReader{nc, readable} }

// backlogLength returns no length: it can't be determined on this system.
func backlogLength(net.Listener) (int, bool) { return 0, false }

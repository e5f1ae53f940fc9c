package http1

import (
	"net"
	"syscall"
)

// left tells whether the client has closed the connection already. Guards
// against work for requests that lay in the socket while the process stood
// still: their clients may have given up. On what can't tell it is false.
func left(nc net.Conn) bool {
	if c, ok := nc.(interface{ Left() bool }); ok {
		return c.Left()
	}
	tc, ok := nc.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
		return true
	})
	return gone || err != nil
}

package pauseclock

import (
	"io"
	"net"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// readableFunc tells whether a socket holds something to read: bytes, a packet, a
// connection, or its end.
func readableFunc(s any) func() bool {
	if m, ok := s.(interface{ Readable() bool }); ok {
		return m.Readable
	}
	sc, ok := s.(syscall.Conn)
	if !ok {
		return func() bool { return false }
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return func() bool { return false }
	}
	return func() bool {
		holds := false
		raw.Control(func(fd uintptr) {
			fds := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
			n, err := unix.Poll(fds[:], 0)
			holds = err == nil && n > 0
		})
		return holds
	}
}

// newConnReader reads TCP with the kernel's word on when bytes came in (SO_TIMESTAMPNS,
// socket(7)): of the last segment that a read gave bytes of.
func newConnReader(nc net.Conn, probe func() bool) connReader {
	tc, ok := nc.(*net.TCPConn)
	if !ok {
		return &plainReader{nc, probe}
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return &plainReader{nc, probe}
	}
	raw.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1) // without, a read says nothing of it
	})
	t := &tcpReader{raw: raw}
	t.receiveFunc = t.receive
	return t
}

type tcpReader struct {
	raw         syscall.RawConn
	receiveFunc func(fd uintptr) bool // receive, made once
	buffer      []byte
	onEmpty     func()
	received    int
	controlLen  int
	receiveErr  error
	control     [64]byte
}

func (t *tcpReader) receive(fd uintptr) bool {
	for {
		t.received, t.controlLen, _, _, t.receiveErr = syscall.Recvmsg(int(fd), t.buffer, t.control[:], 0)
		switch t.receiveErr {
		case syscall.EINTR:
		case syscall.EAGAIN:
			t.onEmpty()
			return false
		default:
			return true
		}
	}
}

func (t *tcpReader) read(b []byte, empty func()) (int, time.Time, bool, error) {
	if len(b) == 0 {
		return 0, time.Time{}, false, nil
	}
	t.buffer, t.onEmpty, t.received, t.controlLen, t.receiveErr = b, empty, 0, 0, nil
	err := t.raw.Read(t.receiveFunc)
	t.buffer = nil
	switch {
	case err != nil:
		return 0, time.Time{}, false, err
	case t.receiveErr != nil:
		return 0, time.Time{}, false, &net.OpError{Op: "read", Net: "tcp", Err: t.receiveErr}
	case t.received == 0:
		return 0, time.Time{}, false, io.EOF
	}
	h := (*syscall.Cmsghdr)(unsafe.Pointer(&t.control[0]))
	if t.controlLen < syscall.CmsgSpace(int(unsafe.Sizeof(syscall.Timespec{}))) || h.Level != syscall.SOL_SOCKET ||
		h.Type != unix.SCM_TIMESTAMPNS {
		return t.received, time.Time{}, false, nil
	}
	ts := (*syscall.Timespec)(unsafe.Pointer(&t.control[syscall.CmsgLen(0)]))
	return t.received, time.Unix(ts.Sec, ts.Nsec), true, nil
}

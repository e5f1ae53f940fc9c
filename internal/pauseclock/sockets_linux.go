package pauseclock

import (
	"io"
	"net"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// prober tells whether a socket holds something to read: bytes, a packet, a
// connection, or its end.
func prober(s any) func() bool {
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

// readerOf reads TCP with the kernel's word on when bytes came in (SO_TIMESTAMPNS,
// socket(7)): of the last segment that a read gave bytes of.
func readerOf(nc net.Conn, probe func() bool) reader {
	tc, ok := nc.(*net.TCPConn)
	if !ok {
		return &plain{nc, probe}
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return &plain{nc, probe}
	}
	raw.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1) // without, a read says nothing of it
	})
	t := &tcp{raw: raw}
	t.recv = t.receive
	return t
}

type tcp struct {
	raw   syscall.RawConn
	recv  func(fd uintptr) bool // receive, made once
	b     []byte
	empty func()
	n     int
	oobn  int
	err   error
	oob   [64]byte
}

func (t *tcp) receive(fd uintptr) bool {
	for {
		t.n, t.oobn, _, _, t.err = syscall.Recvmsg(int(fd), t.b, t.oob[:], 0)
		switch t.err {
		case syscall.EINTR:
		case syscall.EAGAIN:
			t.empty()
			return false
		default:
			return true
		}
	}
}

func (t *tcp) read(b []byte, empty func()) (int, time.Time, bool, error) {
	if len(b) == 0 {
		return 0, time.Time{}, false, nil
	}
	t.b, t.empty, t.n, t.oobn, t.err = b, empty, 0, 0, nil
	err := t.raw.Read(t.recv)
	t.b = nil
	switch {
	case err != nil:
		return 0, time.Time{}, false, err
	case t.err != nil:
		return 0, time.Time{}, false, &net.OpError{Op: "read", Net: "tcp", Err: t.err}
	case t.n == 0:
		return 0, time.Time{}, false, io.EOF
	}
	h := (*syscall.Cmsghdr)(unsafe.Pointer(&t.oob[0]))
	if t.oobn < syscall.CmsgSpace(int(unsafe.Sizeof(syscall.Timespec{}))) || h.Level != syscall.SOL_SOCKET ||
		h.Type != unix.SCM_TIMESTAMPNS {
		return t.n, time.Time{}, false, nil
	}
	ts := (*syscall.Timespec)(unsafe.Pointer(&t.oob[syscall.CmsgLen(0)]))
	return t.n, time.Unix(ts.Sec, ts.Nsec), true, nil
}

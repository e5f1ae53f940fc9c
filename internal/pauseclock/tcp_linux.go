package pauseclock

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// pollFunc returns a function that reports whether a socket is readable or at its end.
func pollFunc(socket any) func() bool { return newPollFunc(socket, unix.POLLIN, false) }

// pollPeerClosedFunc returns a function that reports whether the other end of a connection has closed its sending
// side, or the connection has ended.
func pollPeerClosedFunc(socket any) func() bool {
	return newPollFunc(socket, unix.POLLRDHUP, true)
}

// socketPoller polls a socket for an event, an error or a hang-up with poll(2), without blocking.
type socketPoller struct {
	raw              syscall.RawConn
	event            int16
	resultWhenClosed bool // the result for a socket that this process has closed

	mu          sync.Mutex
	pollFunc    func(fd uintptr) // the method pollDescriptor, bound once to save allocations
	descriptors [1]unix.PollFd   // kept for the same reason
	happened    bool
}

// newPollFunc returns the method poll of a poller of the socket.
func newPollFunc(socket any, event int16, resultWhenClosed bool) func() bool {
	sc, ok := socket.(syscall.Conn)
	if !ok {
		return unknown
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return unknown
	}
	poller := &socketPoller{raw: raw, event: event, resultWhenClosed: resultWhenClosed}
	poller.pollFunc = poller.pollDescriptor
	return poller.poll
}

// poll reports whether the event, an error or a hang-up has happened.
func (p *socketPoller) poll() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.raw.Control(p.pollFunc); err != nil {
		return p.resultWhenClosed
	}
	return p.happened
}

func (p *socketPoller) pollDescriptor(fd uintptr) {
	p.descriptors[0] = unix.PollFd{Fd: int32(fd), Events: p.event}
	p.happened = hasEvent(unix.Poll, p.descriptors[:])
}

// hasEvent reports whether an event, an error or a hang-up has happened on a descriptor. A call that a signal interrupts
// is repeated.
func hasEvent(poll func(descriptors []unix.PollFd, timeout int) (int, error), descriptors []unix.PollFd) bool {
	n, err := poll(descriptors, 0)
	for errors.Is(err, unix.EINTR) {
		n, err = poll(descriptors, 0)
	}
	return err == nil && n > 0
}

// backlogLength returns the length of a listener's queue of connections, which the kernel reports in TCP_INFO. A length
// of 0 is not known to be right: a system may report nothing there.
func backlogLength(l net.Listener) (length int, isKnown bool) {
	tcpListener, ok := l.(*net.TCPListener)
	if !ok {
		return 0, false
	}
	raw, err := tcpListener.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if isKnown = err == nil; isKnown {
			length = int(info.Unacked) // of a listener: those that wait to be accepted
		}
	})
	return length, isKnown && err == nil && length > 0
}

// newConnReader returns a reader that enables the kernel's timestamps of TCP segments
// (SO_TIMESTAMPNS, socket(7)). The timestamp of a read is that of the last segment of which it
// returned bytes.
func newConnReader(nc net.Conn, readable func() bool) connReader {
	tc, ok := nc.(*net.TCPConn)
	if !ok {
		return &plainReader{nc, readable}
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return &plainReader{nc, readable}
	}
	enableTimestamps(raw)
	t := &tcpReader{raw: raw}
	t.receiveFunc = t.receive
	return t
}

// enableTimestamps enables timestamps. Errors are ignored: reads of the socket then have no
// timestamps.
func enableTimestamps(raw syscall.RawConn) {
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	})
}

// tcpReader reads a TCP connection with recvmsg(2).
type tcpReader struct {
	raw         syscall.RawConn
	receiveFunc func(fd uintptr) bool // the method receive, bound once to save allocations

	// These belong to the read in progress.
	buffer     []byte
	onEmpty    func()
	received   int
	controlLen int
	receiveErr error
	control    [64]byte // control messages
}

func (t *tcpReader) read(b []byte, onEmpty func()) (readResult, error) {
	if len(b) == 0 {
		return readResult{}, nil
	}
	t.buffer = b
	t.onEmpty = onEmpty
	t.received = 0
	t.controlLen = 0
	t.receiveErr = nil
	err := t.raw.Read(t.receiveFunc)
	t.buffer = nil
	switch {
	case err != nil:
		return readResult{}, err
	case t.receiveErr != nil:
		return readResult{}, &net.OpError{Op: "read", Net: "tcp", Err: t.receiveErr}
	case t.received == 0:
		return readResult{}, io.EOF
	}
	timestamp, ok := t.timestamp()
	return readResult{n: t.received, timestamp: timestamp, hasTimestamp: ok}, nil
}

// receive reads from the socket. It returns false if the socket is empty; the runtime then calls
// it again when the socket is readable.
func (t *tcpReader) receive(fd uintptr) bool {
	for {
		t.received, t.controlLen, _, _, t.receiveErr = syscall.Recvmsg(int(fd), t.buffer, t.control[:], 0)
		switch {
		case t.receiveErr == nil:
			return true
		case errors.Is(t.receiveErr, syscall.EINTR):
		case errors.Is(t.receiveErr, syscall.EAGAIN):
			t.onEmpty()
			return false
		default:
			return true
		}
	}
}

// timestamp returns the timestamp in the control messages of the last receive. It is the first
// control message, since no option but SO_TIMESTAMPNS makes the kernel send any.
func (t *tcpReader) timestamp() (time.Time, bool) {
	const timespecSize = int(unsafe.Sizeof(syscall.Timespec{}))
	if t.controlLen < syscall.CmsgSpace(timespecSize) {
		return time.Time{}, false
	}
	header := (*syscall.Cmsghdr)(unsafe.Pointer(&t.control[0]))
	if header.Level != syscall.SOL_SOCKET || header.Type != unix.SCM_TIMESTAMPNS {
		return time.Time{}, false
	}
	ts := (*syscall.Timespec)(unsafe.Pointer(&t.control[syscall.CmsgLen(0)]))
	return time.Unix(ts.Unix()), true
}

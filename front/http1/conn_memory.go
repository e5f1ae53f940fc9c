package http1

import (
	"time"

	"yardcleat.example/yardcleat/internal/memory"
)

// connMemory is the memory that a connection holds for its client. It implements [http1.Memory].
type connMemory struct {
	freeBytes int64           // of a request and its response, that are not charged
	request   *memory.Account // the request that is read or in flight, and its response
	messages  int64           // bytes of the request, and of the response that is being written
	reserved  int64           // the part of messages that is reserved
	sentAhead *memory.Account // the requests behind it
}

// beginRequest opens the account of a request that begins to arrive.
func (m *connMemory) beginRequest(c *conn) {
	m.request = c.server.options.Memory.NewAccount(m.freeBytes, c)
	m.messages, m.reserved = 0, 0
}

// ReserveMessage asks for room for bytes of the request that is being read. The account is asked, and its memory may
// be reclaimed, only once there are more than the free bytes.
func (m *connMemory) ReserveMessage(bytes int) error {
	m.messages += int64(bytes)
	if m.messages <= m.freeBytes {
		return nil
	}
	now := time.Now()
	if m.reserved == 0 {
		m.request.Wait(now, memory.Request)
	}
	added := m.messages - m.reserved
	m.reserved = m.messages
	return m.request.Reserve(now, memory.Request, added)
}

// endReading records that the request is complete. It returns false if its memory was reclaimed.
func (m *connMemory) endReading() bool { return m.reserved == 0 || m.request.StopWaiting() }

// beginWriting records that a response is written from now on. Its bytes are reserved already, if they are many.
func (m *connMemory) beginWriting(bytes int) {
	m.messages += int64(bytes)
	if m.messages > m.freeBytes {
		m.request.Wait(time.Now(), memory.Response)
	}
}

// endWriting records that the response is not written any more.
func (m *connMemory) endWriting() {
	if m.messages > m.freeBytes {
		m.request.StopWaiting()
	}
}

// ResizeBuffer asks for room for requests that the client sends ahead, or gives it up.
func (m *connMemory) ResizeBuffer(bytes int) error {
	if bytes <= 0 {
		m.sentAhead.Release(memory.SentAhead, int64(-bytes))
		return nil
	}
	return m.sentAhead.Reserve(time.Now(), memory.SentAhead, int64(bytes))
}

// close gives up all memory.
func (m *connMemory) close() {
	m.request.Close()
	m.sentAhead.Close()
}

// Reclaim implements [memory.Owner]: the request that is being read is rejected, and a response that the client does
// not read is cut off.
func (c *conn) Reclaim() { c.server.connections.Reclaim(c.entry) }

// logShortage logs that a request was rejected because memory is short.
func (s *Server) logShortage() {
	if s.options.Memory.ShortageIsDue(time.Now()) {
		s.options.Log.Warn("memory for requests is used up; rejecting requests", "used_bytes", s.options.Memory.Used())
	}
}

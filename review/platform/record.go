package platform

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file in which a case writes what was sent, answered and run, one line each, with the time in
// whole milliseconds since the record was begun.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

// NewRecord begins a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, begun: time.Now()}, nil
}

// Printf writes one line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%6d ms  %s\n", time.Since(r.begun).Milliseconds(), fmt.Sprintf(format, args...))
}

// Close ends the record.
func (r *Record) Close() { _ = r.file.Close() }

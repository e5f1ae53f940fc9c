package edgekit

import (
	"sync/atomic"
	"time"
)

// MemoryWatch is the platform's limit on the memory of a node.
type MemoryWatch struct {
	stop   chan struct{}
	done   chan struct{}
	peakKB atomic.Int64
	killed atomic.Bool
}

// watchInterval is the time between two looks at the memory of a node.
const watchInterval = 10 * time.Millisecond

// WatchMemory kills a node that holds more memory than its limit, as the platform does. Only memory that is not a part
// of a file counts (RssAnon): the least that any reading of the limit counts.
func (c *Case) WatchMemory(n *Node, limitMB int) *MemoryWatch {
	w := &MemoryWatch{stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		reported := time.Now()
		for {
			kb := n.MemoryKB("RssAnon")
			w.peakKB.Store(max(w.peakKB.Load(), int64(kb)))
			if time.Since(reported) > time.Second {
				reported = time.Now()
				all, sockets := n.Descriptors()
				c.Record.Line("memory %d KiB without files, %d KiB in all; %d descriptors, %d sockets", kb, n.MemoryKB("VmRSS"), all, sockets)
			}
			if kb > limitMB<<10 {
				c.Broken("the node holds %d KiB, and its limit is %d MB: the platform kills it", kb, limitMB)
				w.killed.Store(true)
				n.Kill()
				return
			}
			select {
			case <-w.stop:
				return
			case <-time.After(watchInterval):
			}
		}
	}()
	return w
}

// Stop ends the watch and returns the most memory that was seen, in KiB, and whether the node was killed.
func (w *MemoryWatch) Stop() (peakKB int64, killed bool) {
	close(w.stop)
	<-w.done
	return w.peakKB.Load(), w.killed.Load()
}

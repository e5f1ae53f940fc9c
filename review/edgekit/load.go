package edgekit

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Load is a number of requests of usual clients at an even rate.
type Load struct {
	Node     *Node
	PerS     int                        // requests a second
	Interval time.Duration              // between two requests, if PerS is 0
	Duration time.Duration              // how long requests are sent
	Workers  int                        // connections
	Request  func(number int64) Request // the requests, from number 1
}

// Outcome is what the requests of a load ended with.
type Outcome struct {
	Sent     int64
	Served   int64 // 200 with the body of this request
	Refused  int64 // 429 or 503
	Failed   int64 // any other status
	Foreign  int64 // 200 with something else
	NoAnswer int64 // no whole answer
}

// String returns the figures.
func (o *Outcome) String() string {
	return fmt.Sprintf("%d sent, %d served, %d refused, %d failed, %d with a foreign body, %d without an answer",
		o.Sent, o.Served, o.Refused, o.Failed, o.Foreign, o.NoAnswer)
}

// Play sends the requests and returns what they ended with. It ends early if the node ends.
func (l Load) Play(c *Case) *Outcome {
	o := &Outcome{}
	numbers := make(chan int64, l.Workers)
	var workers sync.WaitGroup
	for range l.Workers {
		workers.Go(func() {
			worker := loadWorker{load: l, record: c.Record, outcome: o}
			for number := range numbers {
				worker.send(number)
			}
		})
	}
	interval := l.Interval
	if l.PerS > 0 {
		interval = time.Second / time.Duration(l.PerS)
	}
	begun := time.Now()
	for number := int64(1); !l.Node.Ended(); number++ {
		due := begun.Add(time.Duration(number) * interval)
		if due.Sub(begun) > l.Duration {
			break
		}
		time.Sleep(time.Until(due))
		numbers <- number
	}
	close(numbers)
	workers.Wait()
	return o
}

// loadWorker sends requests, one at a time, on a connection that it keeps.
type loadWorker struct {
	load    Load
	record  *Record
	outcome *Outcome
	client  *Client
}

// answerSlack is how long after its time a request may still get its answer.
const answerSlack = 500 * time.Millisecond

// send sends a request. Where the node ends a resting connection, the request is sent once more on a new one.
func (w *loadWorker) send(number int64) {
	atomic.AddInt64(&w.outcome.Sent, 1)
	r := w.load.Request(number)
	rested := w.client != nil
	reply := w.exchange(r)
	if rested && errors.Is(reply.Err, io.ErrUnexpectedEOF) {
		reply = w.exchange(r)
	}
	w.count(r, reply)
}

// exchange sends a request on the connection that is kept, or on a new one.
func (w *loadWorker) exchange(r Request) Reply {
	if w.client == nil {
		var err error
		if w.client, err = Dial(w.load.Node.Address); err != nil {
			return Reply{Err: err}
		}
	}
	method := "GET"
	if r.Key != "" || r.Post {
		method = "POST"
	}
	reply := w.client.Exchange(r.Text(), method, time.Duration(r.TimeLeft)*time.Millisecond+answerSlack)
	if reply.Err != nil || reply.Header.Get("Connection") == "close" {
		w.client.Close()
		w.client = nil
	}
	return reply
}

func (w *loadWorker) count(r Request, reply Reply) {
	figure := &w.outcome.Failed
	switch {
	case reply.Status == 0:
		figure = &w.outcome.NoAnswer
		w.record.Line("request %s: no answer after %v: %v", r.ID, reply.Took, reply.Err)
	case reply.Status == 200 && reply.Body == "for "+r.ID:
		figure = &w.outcome.Served
	case reply.Status == 200:
		figure = &w.outcome.Foreign
	case reply.Status == 429 || reply.Status == 503:
		figure = &w.outcome.Refused
	}
	if reply.Status != 0 {
		w.record.Line("request %s: %d after %v: %.60q", r.ID, reply.Status, reply.Took, reply.Body)
	}
	atomic.AddInt64(figure, 1)
}

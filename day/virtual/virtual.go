// Package virtual plays days in virtual time outside of tests: a worker process
// plays scripts one after the other in testing/synctest bubbles, and a pool of
// them keeps all cores busy.
package virtual

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"yardcleat.example/yardcleat/day"
	"yardcleat.example/yardcleat/internal/network"
)

// Job is a day to play.
type Job struct {
	Source        []byte `json:"source"` // of the script
	Seed          uint64 `json:"seed"`   // of the network's and the nodes' chance
	NoTimestamps  bool   `json:"no_stamps,omitempty"`
	Mutation      string `json:"defect,omitempty"` // a defence that is taken out; see Defects
	PauseStrategy string `json:"way,omitempty"`    // of living through stalls; see Ways
}

// Result is what came of a day.
type Result struct {
	Report   *day.Report `json:"report,omitempty"`
	Features []string    `json:"features,omitempty"` // what the day reached
	Error    string      `json:"error,omitempty"`    // the script's, or a panic's
	Stacks   string      `json:"stacks,omitempty"`   // of a day that was not over in time
}

// Run plays one day in a bubble of a test.
func Run(t *testing.T, j Job) (res Result) {
	s, err := day.Parse(j.Source, "day.hcl")
	if err != nil {
		return Result{Error: err.Error()}
	}
	temp, err := os.MkdirTemp(memoryDir(), "yardcleat-")
	if err != nil {
		return Result{Error: err.Error()}
	}
	defer os.RemoveAll(temp)
	said := &logMessages{seen: map[string]bool{}}
	synctest.Test(t, func(t *testing.T) {
		m := network.NewMemory(time.Millisecond, j.Seed)
		m.NoTimestamps = j.NoTimestamps
		env := &day.VirtualEnvironment{Memory: m, TempDir: temp, Log: said, Seed: j.Seed}
		if err := applyMutation(env, j.Mutation); err != nil {
			res.Error = err.Error()
			return
		}
		if w, ok := pauseStrategies[j.PauseStrategy]; ok {
			env.Pause, m.NoTimestamps = w.stall, w.noStamps
		}
		if res.Report, err = day.Run(context.Background(), s, day.Options{Environment: env}); err != nil {
			res.Error = err.Error()
		}
		time.Sleep(time.Minute) // timers of what was closed run out
	})
	if res.Report != nil {
		res.Features = append(res.Report.Features(), said.list()...)
	}
	return res
}

// memoryDir is a directory that costs no disk, where there is one.
func memoryDir() string {
	const shm = "/dev/shm"
	if st, err := os.Stat(shm); err == nil && st.IsDir() {
		return shm
	}
	return ""
}

// logMessages keeps the different messages that nodes logged.
type logMessages struct {
	mu   sync.Mutex
	seen map[string]bool
}

func (w *logMessages) Write(b []byte) (int, error) {
	_, rest, ok := bytes.Cut(b, []byte(`msg="`))
	if !ok {
		return len(b), nil
	}
	msg, _, _ := bytes.Cut(rest, []byte(`"`))
	if i := bytes.IndexAny(msg, "0123456789"); i >= 0 {
		msg = msg[:i] // a number that differs makes no other message
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.seen) < 500 && !w.seen[string(msg)] {
		w.seen[string(msg)] = true
	}
	return len(b), nil
}

func (w *logMessages) list() (out []string) {
	for m := range w.seen {
		out = append(out, "log "+m)
	}
	slices.Sort(out)
	return out
}

// RunWorker plays the jobs on standard input, a JSON document a line, and answers
// on standard output. It does not return.
func RunWorker() {
	test := func(t *testing.T) {
		in := bufio.NewReaderSize(os.Stdin, 1<<20)
		for {
			line, err := in.ReadBytes('\n')
			if err != nil {
				return
			}
			var j Job
			if err := json.Unmarshal(line, &j); err != nil {
				panic(err) // the pool wrote it
			}
			b, err := json.Marshal(Run(t, j))
			if err != nil {
				panic(err)
			}
			os.Stdout.Write(append(b, '\n'))
		}
	}
	testing.Main(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{Name: "days", F: test}}, nil, nil)
}

// Pool plays days in worker processes.
type Pool struct {
	Command func() *exec.Cmd // starts a worker; it must call Worker
	Timeout time.Duration    // real time after which a day is given up

	mu      sync.Mutex
	idle    []*worker
	workers map[*worker]bool
}

type worker struct {
	cmd    *exec.Cmd
	stdin  io.WriteCloser
	stdout *bufio.Reader
	stderr *truncatedBuffer
}

// truncatedBuffer keeps the beginning of what a worker says on standard error: of a panic it
// says most.
type truncatedBuffer struct {
	mu      sync.Mutex
	content []byte
}

func (h *truncatedBuffer) Write(b []byte) (int, error) {
	const most = 1 << 20
	h.mu.Lock()
	defer h.mu.Unlock()
	h.content = append(h.content, b[:min(len(b), most-len(h.content))]...)
	return len(b), nil
}

func (h *truncatedBuffer) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return strings.TrimSpace(string(h.content))
}

func (p *Pool) acquireWorker() (*worker, error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		w := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return w, nil
	}
	p.mu.Unlock()
	w := &worker{cmd: p.Command(), stderr: &truncatedBuffer{}}
	w.cmd.Stderr = w.stderr
	in, err := w.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := w.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	w.stdin, w.stdout = in, bufio.NewReaderSize(out, 1<<20)
	if err := w.cmd.Start(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.workers == nil {
		p.workers = map[*worker]bool{}
	}
	p.workers[w] = true
	return w, nil
}

func (p *Pool) stopWorker(w *worker) {
	w.stdin.Close()
	w.cmd.Process.Kill()
	w.cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.workers, w)
}

// Run plays a day. A worker that panics, or takes too long, makes an error of it;
// err is for what has nothing to do with the day.
func (p *Pool) Run(ctx context.Context, j Job) (Result, error) {
	w, err := p.acquireWorker()
	if err != nil {
		return Result{}, err
	}
	b, err := json.Marshal(j)
	if err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		// Where it is not over in time, the worker's stacks say what it waits for.
		const moment = 5 * time.Second
		w.cmd.Process.Signal(syscall.SIGQUIT)
		time.AfterFunc(moment, func() { w.cmd.Process.Kill() })
	})
	defer stop()
	if _, err := w.stdin.Write(append(b, '\n')); err != nil {
		p.stopWorker(w)
		return Result{}, fmt.Errorf("worker: %w: %s", err, w.stderr)
	}
	for {
		line, err := w.stdout.ReadBytes('\n')
		if err != nil {
			p.stopWorker(w)
			switch {
			case errors.Is(ctx.Err(), context.DeadlineExceeded):
				return Result{Error: fmt.Sprintf("not over after %v", p.Timeout), Stacks: w.stderr.String()}, nil
			case ctx.Err() != nil:
				return Result{}, ctx.Err()
			}
			return Result{Error: "panic: " + w.stderr.String()}, nil
		}
		if line[0] != '{' {
			continue // the test runner's own words
		}
		var r Result
		if err := json.Unmarshal(line, &r); err != nil {
			p.stopWorker(w)
			return Result{}, err
		}
		p.mu.Lock()
		p.idle = append(p.idle, w)
		p.mu.Unlock()
		return r, nil
	}
}

// Close ends the workers.
func (p *Pool) Close() {
	p.mu.Lock()
	all := p.workers
	p.workers, p.idle = nil, nil
	p.mu.Unlock()
	for w := range all {
		p.stopWorker(w)
	}
}

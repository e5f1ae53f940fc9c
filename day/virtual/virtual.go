// Package virtual runs scenarios in virtual time outside of tests. A worker process runs scenarios
// one after another in testing/synctest bubbles; a pool of workers uses all cores.
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

// Job is a scenario to run. A worker receives it as JSON.
type Job struct {
	Source        []byte `json:"source"`              // text of the scenario's script
	Seed          uint64 `json:"seed"`                // seed of the random numbers of the network and the nodes
	NoTimestamps  bool   `json:"no_stamps,omitempty"` // the network gives no timestamps
	Mutation      string `json:"defect,omitempty"`    // optional; one of Mutations
	PauseStrategy string `json:"way,omitempty"`       // optional; one of PauseStrategies
}

// Result is the result of a scenario. A worker sends it as JSON.
type Result struct {
	Report   *day.Report `json:"report,omitempty"`
	Features []string    `json:"features,omitempty"` // features that the scenario reached; see day.Report.Features
	Error    string      `json:"error,omitempty"`    // error of the script or the run, a timeout, or the output of a panic
	Stacks   string      `json:"stacks,omitempty"`   // goroutine stacks of a worker that exceeded the time limit
}

// Run runs one scenario in a synctest bubble of a test.
func Run(t *testing.T, job Job) (result Result) {
	script, err := day.Parse(job.Source, "day.hcl")
	if err != nil {
		return Result{Error: err.Error()}
	}
	temp, err := os.MkdirTemp(memoryDir(), "yardcleat-")
	if err != nil {
		return Result{Error: err.Error()}
	}
	defer os.RemoveAll(temp)
	messages := &logMessages{seen: map[string]bool{}}
	synctest.Test(t, func(t *testing.T) {
		memory := network.NewMemory(time.Millisecond, job.Seed)
		memory.NoTimestamps = job.NoTimestamps
		env := &day.VirtualEnvironment{Memory: memory, TempDir: temp, Log: messages, Seed: job.Seed}
		if err := applyMutation(env, job.Mutation); err != nil {
			result.Error = err.Error()
			return
		}
		if strategy, ok := pauseStrategySettings[job.PauseStrategy]; ok {
			env.Pause, memory.NoTimestamps = strategy.settings, strategy.noTimestamps
		}
		if result.Report, err = day.Run(context.Background(), script, day.Options{Environment: env}); err != nil {
			result.Error = err.Error()
		}
		time.Sleep(time.Minute) // lets the remaining timers of closed components expire
	})
	if result.Report != nil {
		result.Features = append(result.Report.Features(), messages.list()...)
	}
	return result
}

// memoryDir returns a directory of a file system in memory, or "" if there is none.
func memoryDir() string {
	const shm = "/dev/shm"
	if info, err := os.Stat(shm); err == nil && info.IsDir() {
		return shm
	}
	return ""
}

// logMessages collects up to 500 distinct messages that nodes log, each up to its first digit.
type logMessages struct {
	mu   sync.Mutex
	seen map[string]bool
}

func (l *logMessages) Write(b []byte) (int, error) {
	_, rest, ok := bytes.Cut(b, []byte(`msg="`))
	if !ok {
		return len(b), nil
	}
	message, _, _ := bytes.Cut(rest, []byte(`"`))
	if i := bytes.IndexAny(message, "0123456789"); i >= 0 {
		message = message[:i] // messages that differ only in a number count as one
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.seen) < 500 && !l.seen[string(message)] {
		l.seen[string(message)] = true
	}
	return len(b), nil
}

// list returns the messages as features, sorted.
func (l *logMessages) list() (features []string) {
	for message := range l.seen {
		features = append(features, "log "+message)
	}
	slices.Sort(features)
	return features
}

// RunWorker reads jobs from standard input, one JSON document a line, runs them, and writes their
// results to standard output in the same form. It does not return: testing.Main exits the process.
func RunWorker() {
	test := func(t *testing.T) {
		jobs := bufio.NewReaderSize(os.Stdin, 1<<20)
		for {
			line, err := jobs.ReadBytes('\n')
			if err != nil {
				return
			}
			var job Job
			if err := json.Unmarshal(line, &job); err != nil {
				panic(err) // the pool writes only valid jobs
			}
			response, err := json.Marshal(Run(t, job))
			if err != nil {
				panic(err)
			}
			os.Stdout.Write(append(response, '\n'))
		}
	}
	testing.Main(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{Name: "days", F: test}}, nil, nil)
}

// Pool runs scenarios in worker processes. It starts a worker if none is idle.
type Pool struct {
	Command func() *exec.Cmd // returns the command of a worker, which must call RunWorker
	Timeout time.Duration    // real time after which a scenario is aborted

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

// truncatedBuffer keeps the beginning of the standard error output of a worker, since the beginning of a
// panic message is its most informative part.
type truncatedBuffer struct {
	mu      sync.Mutex
	content []byte
}

func (t *truncatedBuffer) Write(b []byte) (int, error) {
	const maxBytes = 1 << 20
	t.mu.Lock()
	defer t.mu.Unlock()
	t.content = append(t.content, b[:min(len(b), maxBytes-len(t.content))]...)
	return len(b), nil
}

func (t *truncatedBuffer) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.TrimSpace(string(t.content))
}

// acquireWorker returns an idle worker, or starts one.
func (p *Pool) acquireWorker() (*worker, error) {
	p.mu.Lock()
	if count := len(p.idle); count > 0 {
		w := p.idle[count-1]
		p.idle = p.idle[:count-1]
		p.mu.Unlock()
		return w, nil
	}
	p.mu.Unlock()
	w := &worker{cmd: p.Command(), stderr: &truncatedBuffer{}}
	w.cmd.Stderr = w.stderr
	stdin, err := w.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	stdout, err := w.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	w.stdin, w.stdout = stdin, bufio.NewReaderSize(stdout, 1<<20)
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

// stopWorker kills a worker, and removes it from the pool.
func (p *Pool) stopWorker(w *worker) {
	w.stdin.Close()
	w.cmd.Process.Kill()
	w.cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.workers, w)
}

// Run runs one scenario. If the worker panics or exceeds the timeout, this is reported in the Error field
// of the result. The returned error is for failures that are not caused by the scenario.
func (p *Pool) Run(ctx context.Context, job Job) (Result, error) {
	w, err := p.acquireWorker()
	if err != nil {
		return Result{}, err
	}
	request, err := json.Marshal(job)
	if err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		// On SIGQUIT the worker writes its goroutine stacks, which show what it waits for.
		const stackDumpTime = 5 * time.Second
		w.cmd.Process.Signal(syscall.SIGQUIT)
		time.AfterFunc(stackDumpTime, func() { w.cmd.Process.Kill() })
	})
	defer stop()
	if _, err := w.stdin.Write(append(request, '\n')); err != nil {
		p.stopWorker(w)
		return Result{}, fmt.Errorf("write to worker: %w; its standard error output: %s", err, w.stderr)
	}
	for {
		line, err := w.stdout.ReadBytes('\n')
		if err != nil {
			p.stopWorker(w)
			switch {
			case errors.Is(ctx.Err(), context.DeadlineExceeded):
				return Result{Error: fmt.Sprintf("scenario did not end within %v", p.Timeout), Stacks: w.stderr.String()}, nil
			case ctx.Err() != nil:
				return Result{}, ctx.Err()
			}
			return Result{Error: "panic: " + w.stderr.String()}, nil
		}
		if line[0] != '{' {
			continue // output of package testing
		}
		var result Result
		if err := json.Unmarshal(line, &result); err != nil {
			p.stopWorker(w)
			return Result{}, err
		}
		p.mu.Lock()
		p.idle = append(p.idle, w)
		p.mu.Unlock()
		return result, nil
	}
}

// Close stops all workers.
func (p *Pool) Close() {
	p.mu.Lock()
	workers := p.workers
	p.workers, p.idle = nil, nil
	p.mu.Unlock()
	for w := range workers {
		p.stopWorker(w)
	}
}

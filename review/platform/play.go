package platform

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// Options are the options with which case.sh starts the stand-ins of a case.
type Options struct {
	Folder  string // temporary; case.sh starts the nodes once MarkReady has been called
	Record  *Record
	Trouble bool // false: the disruption is left out
}

// MarkReady has case.sh start the edge nodes.
func (o *Options) MarkReady() error {
	return os.WriteFile(filepath.Join(o.Folder, "ready"), nil, 0o600)
}

// parentInterval is the time between two looks whether the script still runs.
const parentInterval = 200 * time.Millisecond

// endWithScript ends the nodes and this process once the script has ended without doing so, for example by SIGKILL.
func (o *Options) endWithScript(script int) {
	for os.Getppid() == script {
		time.Sleep(parentInterval)
	}
	paths, _ := filepath.Glob(filepath.Join(o.Folder, "pid-*"))
	for _, path := range paths {
		n := Node{PIDPath: path}
		if pid, err := n.PID(); err == nil {
			_ = syscall.Kill(pid, syscall.SIGKILL)
		}
	}
	_ = os.RemoveAll(o.Folder)
	os.Exit(statusNotRun)
}

// Main plays a case and exits. play returns whether the rule was broken; its error means that the case could not run.
func Main(play func(o *Options) (broken bool, err error)) {
	folder := flag.String("folder", "", "temporary folder")
	path := flag.String("record", "", "file of the record")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	record, err := NewRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusNotRun)
	}
	o := &Options{Folder: *folder, Record: record, Trouble: *trouble}
	record.Printf("%s, with the disruption: %t; times are since the start, all addresses are loopback ones", filepath.Base(os.Args[0]), *trouble)
	go o.endWithScript(os.Getppid())
	broken, err := play(o)
	status := statusHeld
	switch {
	case err != nil:
		record.Printf("RESULT: the case could not run: %v", err)
		status = statusNotRun
	case broken:
		record.Printf("RESULT: the rule was broken")
		status = statusBroken
	default:
		record.Printf("RESULT: the rule held")
	}
	record.Close()
	os.Exit(status)
}

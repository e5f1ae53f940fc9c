package edgekit

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// farmArgument makes a program of a case run a farm in place of the case.
const farmArgument = "farm"

// FarmMain runs a farm if the program was started as one: app servers that answer every request with 200, until
// standard input ends. It writes their addresses to standard output. Programs that use StartFarm call it first.
func FarmMain() {
	if len(os.Args) != 3 || os.Args[1] != farmArgument {
		return
	}
	var count int
	if _, err := fmt.Sscan(os.Args[2], &count); err != nil {
		os.Exit(exitNotRun)
	}
	for range count {
		s, err := StartAppServer("", func(a Arrival) Answer { return OK("for "+a.ID, 20*time.Millisecond) })
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNotRun)
		}
		fmt.Println(s.Address)
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
	os.Exit(exitKept)
}

// StartFarm starts a number of app servers in a process of its own, and returns their addresses. A process holds
// only some hundred descriptors, so large fleets take several farms.
func (c *Case) StartFarm(count int) ([]string, error) {
	cmd := exec.Command(os.Args[0], farmArgument, fmt.Sprint(count))
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if _, err := cmd.StdinPipe(); err != nil { // ends with this process
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	c.Defer(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	var addresses []string
	lines := bufio.NewScanner(out)
	for len(addresses) < count && lines.Scan() {
		addresses = append(addresses, lines.Text())
	}
	if len(addresses) < count {
		return nil, fmt.Errorf("a farm started %d of %d app servers", len(addresses), count)
	}
	return addresses, nil
}

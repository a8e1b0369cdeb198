// Package harness starts the whole system as separate processes on loopback, for
// the demonstration, the measurements and the tests with real processes. Only the
// harness and its tests start other processes, and they end only processes that
// they started.
package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// stopTimeout is how long Stop waits for a graceful exit before it kills the
// process.
const stopTimeout = 20 * time.Second

// describedBytes is the length of the output in the description of a process.
const describedBytes = 600

// Process is a started program.
type Process struct {
	Name string
	// LogFile is the path of the file with the output of the process.
	LogFile string
	cmd     *exec.Cmd
	done    chan struct{}
	err     error
}

// StartProcess starts a program with its output in the file name.log in dir.
func StartProcess(dir, name, program string, args ...string) (*Process, error) {
	path := filepath.Join(dir, name+".log")
	out, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout = out
	cmd.Stderr = out
	// The kernel kills the process when the harness itself is killed, so that no
	// process is left over.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting %s: %w", name, err)
	}
	p := &Process{Name: name, LogFile: path, cmd: cmd, done: make(chan struct{})}
	go p.wait()
	return p, nil
}

func (p *Process) wait() {
	p.err = p.cmd.Wait()
	close(p.done)
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill kills the process and waits for its end, to simulate the crash of an
// instance.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Pause suspends the process.
func (p *Process) Pause() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Continue resumes a suspended process.
func (p *Process) Continue() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Stop requests a graceful exit and returns the error with which the process
// exited.
func (p *Process) Stop() error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(stopTimeout):
		p.Kill()
		return fmt.Errorf("%s did not exit within %s", p.Name, stopTimeout)
	}
}

// describe returns whether the process runs and the end of its output, for error messages.
func (p *Process) describe() string {
	state := "running"
	if p.Exited() {
		state = fmt.Sprintf("exited: %v", p.err)
	}
	output, err := os.ReadFile(p.LogFile)
	if err != nil {
		return fmt.Sprintf("%s, no output: %v", state, err)
	}
	return fmt.Sprintf("%s, output ends with %q", state, output[max(0, len(output)-describedBytes):])
}

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

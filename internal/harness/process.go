// Package harness starts the whole system as separate processes on loopback,
// for the demonstration, the measurements and the tests with real processes.
// It is the only code of the project that starts other processes, and it ends
// only those it started.
package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// stopPatience is how long Stop waits for a graceful end before it kills.
const stopPatience = 20 * time.Second

// Process is a started program.
type Process struct {
	Name string
	// LogFile holds what the process printed.
	LogFile string
	cmd     *exec.Cmd
	done    chan struct{}
	err     error
}

// StartProcess runs a program with its output in a file below dir.
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
	// A harness that is itself killed must leave no process behind.
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

// PID is the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill ends the process at once, as a lost instance would.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Pause freezes the process.
func (p *Process) Pause() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Continue lets a frozen process run on.
func (p *Process) Continue() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Stop asks the process to end gracefully and reports how it ended.
func (p *Process) Stop() error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(stopPatience):
		p.Kill()
		return fmt.Errorf("%s did not end within %s", p.Name, stopPatience)
	}
}

// Exited reports whether the process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

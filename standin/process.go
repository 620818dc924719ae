package standin

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// ErrStillRunning is returned for a process that had to be killed because it did
// not end in time.
var ErrStillRunning = errors.New("process did not end in time")

// ProcessConfig describes a process to start.
type ProcessConfig struct {
	Name string
	Path string
	Args []string
	// Stdout and Stderr receive the output of the process; nil discards it.
	Stdout, Stderr io.Writer
}

// Process is a child process. On systems that support it, it is killed when the
// parent dies.
type Process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// startThread returns a channel of functions to run on a dedicated OS thread that
// never exits. Child processes are started there, since the parent death signal
// of a child is sent when the thread that started it exits.
var startThread = sync.OnceValue(func() chan func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range work {
			f()
		}
	}()
	return work
})

// StartProcess starts a child process.
func StartProcess(cfg ProcessConfig) (*Process, error) {
	cmd := exec.Command(cfg.Path, cfg.Args...)
	cmd.Stdout, cmd.Stderr = cfg.Stdout, cfg.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	killWithParent(cmd.SysProcAttr)
	started := make(chan error, 1)
	startThread() <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return nil, fmt.Errorf("start %s: %w", cfg.Name, err)
	}
	p := &Process{name: cfg.Name, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Name returns the name from the configuration.
func (p *Process) Name() string { return p.name }

// Pid returns the process ID.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns the error with which the process ended; nil means exit code 0. It
// is valid once Done is closed.
func (p *Process) Err() error { return p.err }

// ExitStatus describes how the process ended, as in "exit status 1". It is valid
// once Done is closed.
func (p *Process) ExitStatus() string { return p.cmd.ProcessState.String() }

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("signal %s: %w", p.name, err)
	}
	return nil
}

// ErrNotPaused is returned for a process that kept running after SIGSTOP.
var ErrNotPaused = errors.New("process did not stop")

const (
	// pauseTimeout limits the wait for a process to stop, and
	// pausePollInterval is the interval between checks.
	pauseTimeout      = 2 * time.Second
	pausePollInterval = time.Millisecond
)

// Pause pauses the process with SIGSTOP and waits until it has stopped: on a
// busy machine its threads may keep running for a moment after the signal. Resume
// continues it.
func (p *Process) Pause() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for deadline := time.Now().Add(pauseTimeout); !stopped(p.Pid()); time.Sleep(pausePollInterval) {
		if time.Now().After(deadline) {
			return fmt.Errorf("pause %s: %w", p.name, ErrNotPaused)
		}
	}
	return nil
}

// Resume continues a paused process with SIGCONT.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Stop sends SIGTERM and waits for the process to end. If that takes longer than
// timeout, it kills the process and returns ErrStillRunning.
func (p *Process) Stop(timeout time.Duration) error {
	_ = p.Signal(syscall.SIGTERM)
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-p.done:
		return p.err
	case <-t.C:
		p.Kill()
		return fmt.Errorf("stop %s within %v: %w", p.name, timeout, ErrStillRunning)
	}
}

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

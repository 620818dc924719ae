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

// ErrStillRunning is returned for a process that had to be killed, as it did
// not end in time.
var ErrStillRunning = errors.New("process did not end in time")

// ProcessConfig describes a process to start.
type ProcessConfig struct {
	Name string
	Path string
	Args []string
	// Stdout and Stderr take what the process writes; nil drops it.
	Stdout, Stderr io.Writer
}

// Process is a child of this process. It is killed when this process dies,
// where the system offers that.
type Process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// starter starts children from one thread that never ends, since the system
// ties the death signal of a child to the thread that started it.
var starter = sync.OnceValue(func() chan func() {
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
	dieWithParent(cmd.SysProcAttr)
	started := make(chan error, 1)
	starter() <- func() { started <- cmd.Start() }
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

// Name returns the name that the process was given.
func (p *Process) Name() string { return p.name }

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns how the process ended; nil means with exit code 0. It is valid
// once Done is closed.
func (p *Process) Err() error { return p.err }

// Ending says in words how the process ended. It is valid once Done is closed.
func (p *Process) Ending() string { return p.cmd.ProcessState.String() }

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("signal %s: %w", p.name, err)
	}
	return nil
}

// ErrNotFrozen is returned for a process that went on after the signal to stop.
var ErrNotFrozen = errors.New("process did not freeze")

const (
	// freezeLimit bounds the wait for a process to stop, and freezePoll is how
	// often it is looked at.
	freezeLimit = 2 * time.Second
	freezePoll  = time.Millisecond
)

// Freeze pauses the process and waits until it has stopped: on a busy machine its
// threads may run on for a moment after the signal. Thaw lets it go on.
func (p *Process) Freeze() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for limit := time.Now().Add(freezeLimit); !frozen(p.Pid()); time.Sleep(freezePoll) {
		if time.Now().After(limit) {
			return fmt.Errorf("freeze %s: %w", p.name, ErrNotFrozen)
		}
	}
	return nil
}

// Thaw lets a frozen process go on.
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }

// Stop asks the process to end and waits for that. It kills it, and returns
// ErrStillRunning, when it takes longer than wait.
func (p *Process) Stop(wait time.Duration) error {
	_ = p.Signal(syscall.SIGTERM)
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-p.done:
		return p.err
	case <-t.C:
		p.Kill()
		return fmt.Errorf("stop %s after %v: %w", p.name, wait, ErrStillRunning)
	}
}

// Kill ends the process at once and waits until it is gone.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

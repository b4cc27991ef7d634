package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// stopTimeout is how long Stop waits before it kills a process.
const stopTimeout = 30 * time.Second

// Process is a child process whose output is written to a log file.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}

	mu  sync.Mutex
	err error
}

// StartProcess starts a program. Its output is appended to DIR/NAME.log.
func StartProcess(dir, name, program string, args ...string) (*Process, error) {
	return StartProcessWithEnv(dir, name, nil, program, args...)
}

// StartProcessWithEnv is StartProcess with variables added to the environment.
func StartProcessWithEnv(dir, name string, env []string, program string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), env...)
	// The kernel kills the child when the harness ends, also if it is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &Process{Name: name, cmd: cmd, log: log, done: make(chan struct{})}
	go p.wait()
	return p, nil
}

func (p *Process) wait() {
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	_ = p.log.Close()
	close(p.done)
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns the exit error of the process. It is valid once Done is closed.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Signal sends a signal. It does nothing if the process has ended.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill kills the process, as the loss of its VM would, and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop sends SIGTERM, waits up to stopTimeout for the process to end, and then
// kills it.
func (p *Process) Stop() error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.Err()
	case <-time.After(stopTimeout):
		p.Kill()
		return errors.Errorf("%s did not stop within %s", p.Name, stopTimeout)
	}
}

package stage

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const endWait = 6 * time.Second // for a process to end after SIGTERM, before it is killed

// starter starts processes from one thread that lives as long as the stage: the kernel ends a child with the thread
// that has started it, so that no process outlives a stage that is killed.
type starter struct {
	orders chan func()
	done   chan struct{}
}

func newStarter() *starter {
	s := &starter{make(chan func()), make(chan struct{})}
	go func() {
		defer close(s.done)
		runtime.LockOSThread() // never unlocked: the thread ends with the goroutine
		for run := range s.orders {
			run()
		}
	}()
	return s
}

func (s *starter) start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	result := make(chan error)
	s.orders <- func() { result <- cmd.Start() }
	return <-result
}

func (s *starter) close() {
	close(s.orders)
	<-s.done
}

// process is one real process that may be started many times. Its methods may be called from many goroutines.
type process struct {
	name    string
	starter *starter
	program string
	args    []string
	env     []string
	state   string                 // its lasting folder
	log     string                 // its file
	crashed func(name, how string) // hears of an end that nobody asked for

	mu      sync.Mutex
	cmd     *exec.Cmd
	dead    chan struct{} // closed when it has ended
	stopped bool          // by SIGSTOP
	full    bool          // its disk is
	told    bool          // to end
}

// start starts it, if it does not run.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	cmd := exec.Command(p.program, p.args...)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG=", "ROUTER_STATE=", "ROUTER_CONSOLE=", "GOMAXPROCS=2")
	cmd.Env = append(cmd.Env, p.env...)
	// By a pipe: a bound on the process's files does not silence it.
	said := struct{ io.Writer }{out}
	cmd.Stdout, cmd.Stderr = said, said
	if err := p.starter.start(cmd); err != nil {
		out.Close()
		return fmt.Errorf("%s: %w", p.name, err)
	}
	dead := make(chan struct{})
	p.cmd, p.dead, p.stopped, p.told = cmd, dead, false, false
	go func() {
		err := cmd.Wait()
		out.Close()
		p.mu.Lock()
		p.cmd = nil
		told := p.told
		p.mu.Unlock()
		if !told {
			p.crashed(p.name, fmt.Sprint(err))
		}
		close(dead)
	}()
	if p.full {
		return p.bound(0)
	}
	return nil
}

// runs tells whether the process is there, paused or not.
func (p *process) runs() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// signal sends the process a signal, and returns a channel that closes when it has ended; nil if it does not run.
func (p *process) signal(s syscall.Signal) (<-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil, nil
	}
	switch s {
	case syscall.SIGSTOP:
		p.stopped = true
	case syscall.SIGCONT:
		p.stopped = false
	case syscall.SIGKILL, syscall.SIGTERM:
		p.told = true
	}
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return nil, fmt.Errorf("%s: %w", p.name, err)
	}
	return p.dead, nil
}

// kill ends it at once, and returns when it is gone.
func (p *process) kill() error {
	dead, err := p.signal(syscall.SIGKILL)
	if dead != nil {
		<-dead
	}
	return err
}

// end tells it to end, and kills it if it takes too long.
func (p *process) end() error {
	p.mu.Lock()
	stopped := p.stopped
	p.mu.Unlock()
	if stopped {
		return p.kill()
	}
	dead, err := p.signal(syscall.SIGTERM)
	if dead == nil {
		return err
	}
	select {
	case <-dead:
		return nil
	case <-time.After(endWait):
		return errors.Join(fmt.Errorf("%s: it did not end within %v", p.name, endWait), p.kill())
	}
}

// fill makes the process's disk full, or gives it room again. It is a bound on the length of every file that it
// writes, which it meets as an error of the write.
func (p *process) fill(full bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.full = full
	if p.cmd == nil {
		return nil
	}
	if full {
		return p.bound(0)
	}
	return p.bound(unix.RLIM_INFINITY)
}

// bound is the most bytes that a file may have. The lock is held.
func (p *process) bound(bytes uint64) error {
	limit := unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	return nil
}

// empty takes away what the process has kept. It must not run.
func (p *process) empty() error {
	if p.runs() {
		return fmt.Errorf("%s: it runs, and its folder is not taken away", p.name)
	}
	return errors.Join(os.RemoveAll(p.state), os.MkdirAll(p.state, 0o700))
}

// damage flips one byte of one of its files, or cuts it there. It must not run.
func (p *process) damage(file string, rng *rand.Rand) error {
	if p.runs() {
		return fmt.Errorf("%s: it runs, and its files are not damaged", p.name)
	}
	path := filepath.Join(p.state, filepath.Base(file))
	raw, err := os.ReadFile(path)
	if err != nil || len(raw) == 0 {
		return err
	}
	place := rng.IntN(len(raw))
	if rng.IntN(2) == 0 {
		raw = raw[:place]
	} else {
		raw[place] ^= 1 << rng.IntN(8)
	}
	return os.WriteFile(path, raw, 0o600)
}

const wantedFiles = 1 << 17 // each connection on the stage takes up to four descriptors here

// roomForFiles asks for as many descriptors as the system gives this process.
func roomForFiles() {
	var l unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &l) != nil || l.Cur >= wantedFiles {
		return
	}
	more := unix.Rlimit{Cur: wantedFiles, Max: max(l.Max, wantedFiles)}
	if unix.Setrlimit(unix.RLIMIT_NOFILE, &more) != nil { // only root may have more than it was given
		l.Cur = l.Max
		unix.Setrlimit(unix.RLIMIT_NOFILE, &l) // no more can be had then
	}
}

// Package process owns what the lab starts: real processes on addresses of loopback of their own, which are paused, killed,
// emptied and measured, and end with whoever started them.
package process

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const terminateTimeout = 6 * time.Second // for a process to end after SIGTERM, before it is killed

// Starter starts processes from one thread that lives as long as the stage: the kernel ends a child with the thread
// that has started it, so that no process outlives a stage that is killed.
type Starter struct {
	requests chan func()
	done     chan struct{}
}

// NewStarter begins one, and asks for as many descriptors as the system gives.
func NewStarter() *Starter {
	raiseFileLimit()
	s := &Starter{make(chan func()), make(chan struct{})}
	go func() {
		defer close(s.done)
		runtime.LockOSThread() // never unlocked: the thread ends with the goroutine
		for run := range s.requests {
			run()
		}
	}()
	return s
}

func (s *Starter) start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	result := make(chan error)
	s.requests <- func() { result <- cmd.Start() }
	return <-result
}

// Close ends the thread; whatever it has started has ended by then, or ends now.
func (s *Starter) Close() {
	close(s.requests)
	<-s.done
}

// Process is one real process that may be started many times. Its fields are set before; its methods may be called from
// many goroutines.
type Process struct {
	Name     string
	Starter  *Starter
	Program  string
	Args     []string
	Env      []string               // beside this process's own
	StateDir string                 // its lasting folder
	LogPath  string                 // its file
	OnCrash  func(name, how string) // hears of an end that nobody asked for; nil for nobody

	mu            sync.Mutex
	cmd           *exec.Cmd
	exited        chan struct{} // closed when it has ended
	paused        bool          // by SIGSTOP
	diskFull      bool          // its disk is
	exitRequested bool          // to end
}

// Start starts it, if it does not run.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	cmd := exec.Command(p.Program, p.Args...)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG=", "ROUTER_STATE=", "ROUTER_CONSOLE=", "GOMAXPROCS=2") // what its limits give it is more than a stage of hundreds has
	cmd.Env = append(cmd.Env, p.Env...)
	// By a pipe: a bound on the process's files does not silence it.
	said := struct{ io.Writer }{out}
	cmd.Stdout, cmd.Stderr = said, said
	if err := p.Starter.start(cmd); err != nil {
		out.Close()
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	dead := make(chan struct{})
	p.cmd, p.exited, p.paused, p.exitRequested = cmd, dead, false, false
	go func() {
		err := cmd.Wait()
		out.Close()
		p.mu.Lock()
		p.cmd = nil
		told := p.exitRequested
		p.mu.Unlock()
		if !told && p.OnCrash != nil {
			p.OnCrash(p.Name, fmt.Sprint(err))
		}
		close(dead)
	}()
	if p.diskFull {
		return p.setFileSizeLimit(0)
	}
	return nil
}

// Runs tells whether the process is there, paused or not.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// PID is its number, 0 while it does not run.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Pause stops the process where it is, or lets it go on.
func (p *Process) SetPaused(on bool) error {
	s := syscall.SIGCONT
	if on {
		s = syscall.SIGSTOP
	}
	_, err := p.signal(s)
	return err
}

// Leave tells it to end, and does not wait for that.
func (p *Process) Terminate() error {
	_, err := p.signal(syscall.SIGTERM)
	return err
}

// signal sends the process a signal, and returns a channel that closes when it has ended; nil if it does not run.
func (p *Process) signal(s syscall.Signal) (<-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil, nil
	}
	switch s {
	case syscall.SIGSTOP:
		p.paused = true
	case syscall.SIGCONT:
		p.paused = false
	case syscall.SIGKILL, syscall.SIGTERM:
		p.exitRequested = true
	}
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return nil, fmt.Errorf("%s: %w", p.Name, err)
	}
	return p.exited, nil
}

// Kill ends it at once, and returns when it is gone.
func (p *Process) Kill() error {
	dead, err := p.signal(syscall.SIGKILL)
	if dead != nil {
		<-dead
	}
	return err
}

// End tells it to end, and kills it if it takes too long.
func (p *Process) Stop() error {
	p.mu.Lock()
	stopped := p.paused
	p.mu.Unlock()
	if stopped {
		return p.Kill()
	}
	dead, err := p.signal(syscall.SIGTERM)
	if dead == nil {
		return err
	}
	select {
	case <-dead:
		return nil
	case <-time.After(terminateTimeout):
		return errors.Join(fmt.Errorf("%s: it did not end within %v", p.Name, terminateTimeout), p.Kill())
	}
}

// Fill makes the process's disk full, or gives it room again. It is a bound on the length of every file that it
// writes, which it meets as an error of the write.
func (p *Process) SetDiskFull(full bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.diskFull = full
	if p.cmd == nil {
		return nil
	}
	if full {
		return p.setFileSizeLimit(0)
	}
	return p.setFileSizeLimit(unix.RLIM_INFINITY)
}

// bound is the most bytes that a file may have. The lock is held.
func (p *Process) setFileSizeLimit(bytes uint64) error {
	limit := unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	return nil
}

// Usage is what a process has cost so far.
type Usage struct {
	CPU        time.Duration
	PeakMemory int64 // bytes that stood in memory at once
}

const ticksPerSecond = 100 // of the times in /proc, on every machine that this runs on

// Cost reads what the running process has cost.
func (p *Process) Usage() (u Usage, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return u, fmt.Errorf("%s: it does not run", p.Name)
	}
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, fmt.Errorf("%s: %w", p.Name, err)
	}
	_, after, _ := strings.Cut(string(stat), ") ") // the name may hold anything
	fields := strings.Fields(after)
	if len(fields) < 13 {
		return u, fmt.Errorf("%s: %d fields in its stat", p.Name, len(fields))
	}
	for _, text := range fields[11:13] {
		ticks, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return u, fmt.Errorf("%s: %w", p.Name, err)
		}
		u.CPU += time.Duration(ticks) * time.Second / ticksPerSecond
	}
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return u, fmt.Errorf("%s: %w", p.Name, err)
	}
	if _, after, found := strings.Cut(string(status), "VmHWM:"); found {
		var kb int64
		if _, err := fmt.Sscan(after, &kb); err != nil {
			return u, fmt.Errorf("%s: %w", p.Name, err)
		}
		u.PeakMemory = kb << 10
	}
	return u, nil
}

// Empty takes away what the process has kept. It must not run.
func (p *Process) ClearState() error {
	if p.Running() {
		return fmt.Errorf("%s: it runs, and its folder is not taken away", p.Name)
	}
	return errors.Join(os.RemoveAll(p.StateDir), os.MkdirAll(p.StateDir, 0o700))
}

// Damage flips one byte of one of its files, or cuts it there. It must not run.
func (p *Process) CorruptFile(file string, rng *rand.Rand) error {
	if p.Running() {
		return fmt.Errorf("%s: it runs, and its files are not damaged", p.Name)
	}
	path := filepath.Join(p.StateDir, filepath.Base(file))
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

const wantedOpenFiles = 1 << 17 // each connection on the stage takes up to four descriptors here

// roomForFiles asks for as many descriptors as the system gives this process.
func raiseFileLimit() {
	var l unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &l) != nil || l.Cur >= wantedOpenFiles {
		return
	}
	more := unix.Rlimit{Cur: wantedOpenFiles, Max: max(l.Max, wantedOpenFiles)}
	if unix.Setrlimit(unix.RLIMIT_NOFILE, &more) != nil { // only root may have more than it was given
		l.Cur = l.Max
		unix.Setrlimit(unix.RLIMIT_NOFILE, &l) // no more can be had then
	}
}

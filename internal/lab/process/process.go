// Package process runs the lab's processes on loopback addresses of their own. It starts, pauses, kills and measures
// them, and clears or corrupts their state. They end when the lab ends.
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

const terminateTimeout = 6 * time.Second // from SIGTERM until the process is killed

// Starter starts processes from one OS thread that lives until Close. Each process has a parent death signal, with
// which the kernel kills it when the thread that started it ends. So no process outlives a lab that is killed.
type Starter struct {
	requests chan func()
	done     chan struct{}
}

// NewStarter starts the thread, and raises this process's limit of open files.
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

// Close ends the thread, and with it all processes that are still running.
func (s *Starter) Close() {
	close(s.requests)
	<-s.done
}

// Process is an operating system process that may be started many times. The exported fields are set before the first
// start. Its methods may be called from many goroutines.
type Process struct {
	Name     string
	Starter  *Starter
	Program  string
	Args     []string
	Env      []string               // added to this process's environment
	StateDir string                 // holds the process's persistent state
	LogPath  string                 // receives standard output and standard error
	OnCrash  func(name, how string) // called when the process ends without Kill, Stop or Terminate; may be nil

	mu            sync.Mutex
	cmd           *exec.Cmd
	exited        chan struct{} // closed when the process has ended
	paused        bool          // stopped by SIGSTOP
	diskFull      bool          // writes to files fail
	exitRequested bool          // it was told to end
}

// Start starts the process unless it is running.
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
	// GOMAXPROCS: by its own limits a node would use more CPUs than there are for one of hundreds on this machine.
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG=", "ROUTER_STATE=", "ROUTER_CONSOLE=", "GOMAXPROCS=2")
	cmd.Env = append(cmd.Env, p.Env...)
	// The wrapper hides the file from os/exec, which then uses a pipe: the file size limit of SetDiskFull does not
	// apply to the process's output.
	output := struct{ io.Writer }{out}
	cmd.Stdout, cmd.Stderr = output, output
	if err := p.Starter.start(cmd); err != nil {
		out.Close()
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.paused, p.exitRequested = cmd, exited, false, false
	go func() {
		err := cmd.Wait()
		out.Close()
		p.mu.Lock()
		p.cmd = nil
		exitRequested := p.exitRequested
		p.mu.Unlock()
		if !exitRequested && p.OnCrash != nil {
			p.OnCrash(p.Name, fmt.Sprint(err))
		}
		close(exited)
	}()
	if p.diskFull {
		return p.setFileSizeLimit(0)
	}
	return nil
}

// Running returns whether the process exists, including while it is paused.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// PID returns the process id, or 0 if the process is not running.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// SetPaused stops the process with SIGSTOP, or continues it.
func (p *Process) SetPaused(paused bool) error {
	s := syscall.SIGCONT
	if paused {
		s = syscall.SIGSTOP
	}
	_, err := p.signal(s)
	return err
}

// Terminate sends SIGTERM, and does not wait for the process to end.
func (p *Process) Terminate() error {
	_, err := p.signal(syscall.SIGTERM)
	return err
}

// signal sends the process a signal. It returns a channel that closes when the process has ended, or nil if it is not
// running.
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

// Kill sends SIGKILL, and returns when the process has ended.
func (p *Process) Kill() error {
	exited, err := p.signal(syscall.SIGKILL)
	if exited != nil {
		<-exited
	}
	return err
}

// Stop sends SIGTERM, and SIGKILL if the process has not ended within terminateTimeout. It kills a paused process at
// once.
func (p *Process) Stop() error {
	p.mu.Lock()
	paused := p.paused
	p.mu.Unlock()
	if paused {
		return p.Kill()
	}
	exited, err := p.signal(syscall.SIGTERM)
	if exited == nil {
		return err
	}
	select {
	case <-exited:
		return nil
	case <-time.After(terminateTimeout):
		return errors.Join(fmt.Errorf("%s: process did not end within %v after SIGTERM", p.Name, terminateTimeout), p.Kill())
	}
}

// SetDiskFull makes the process's writes to files fail as on a full disk, or lets them succeed again. It sets the
// process's file size limit to 0, so that each write that would extend a file returns an error.
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

// setFileSizeLimit sets the maximum size of files that the process writes. The caller holds mu.
func (p *Process) setFileSizeLimit(bytes uint64) error {
	limit := unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	return nil
}

// Usage is the resources that a process has used so far.
type Usage struct {
	CPU        time.Duration
	PeakMemory int64 // highest resident set size, in bytes
}

const ticksPerSecond = 100 // unit of the CPU times in /proc; USER_HZ is 100 on every machine that this runs on

// Usage reads the resource usage of the running process.
func (p *Process) Usage() (u Usage, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return u, fmt.Errorf("%s: process is not running", p.Name)
	}
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, fmt.Errorf("%s: %w", p.Name, err)
	}
	// The file begins with the process ID and the command name, which is in parentheses. The other fields are taken
	// from what follows the first ") ", so a name that itself contains ") " would be misread.
	_, after, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(after)
	if len(fields) < 13 {
		return u, fmt.Errorf("%s: /proc stat has only %d fields after the name", p.Name, len(fields))
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

// ClearState deletes the contents of the state folder. The process must not be running.
func (p *Process) ClearState() error {
	if p.Running() {
		return fmt.Errorf("%s: cannot clear the state of a running process", p.Name)
	}
	return errors.Join(os.RemoveAll(p.StateDir), os.MkdirAll(p.StateDir, 0o700))
}

// CorruptFile flips one bit of a file in the state folder, or truncates the file, at a random offset. The process must
// not be running.
func (p *Process) CorruptFile(file string, rng *rand.Rand) error {
	if p.Running() {
		return fmt.Errorf("%s: cannot corrupt a file of a running process", p.Name)
	}
	path := filepath.Join(p.StateDir, filepath.Base(file))
	data, err := os.ReadFile(path)
	if err != nil || len(data) == 0 {
		return err
	}
	offset := rng.IntN(len(data))
	if rng.IntN(2) == 0 {
		data = data[:offset]
	} else {
		data[offset] ^= 1 << rng.IntN(8)
	}
	return os.WriteFile(path, data, 0o600)
}

const wantedOpenFiles = 1 << 17 // each relayed connection takes up to four descriptors in this process

// raiseFileLimit raises the limit of open files to wantedOpenFiles, or as far as the system permits.
func raiseFileLimit() {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil || limit.Cur >= wantedOpenFiles {
		return
	}
	wanted := unix.Rlimit{Cur: wantedOpenFiles, Max: max(limit.Max, wantedOpenFiles)}
	if unix.Setrlimit(unix.RLIMIT_NOFILE, &wanted) != nil { // only a privileged process may exceed its hard limit
		limit.Cur = limit.Max
		unix.Setrlimit(unix.RLIMIT_NOFILE, &limit) // best effort: this is the most that is permitted
	}
}

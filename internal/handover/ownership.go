package handover

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"harrierramp/internal/backoff"
)

// During an upgrade a node consists of two processes. Only the one that holds a lock on a file in the state
// folder may write the journal, make decisions and handle messages. The kernel releases the lock when its
// holder dies, however that happens. On a hand-over the file descriptor of the lock is passed on, so that the
// lock is never free in between.

const (
	lockName   = "lock"
	socketName = "handover"
	// LockRetryInterval is the time between attempts to take a lock that another process holds.
	LockRetryInterval = 20 * time.Millisecond
	// RequestTimeout limits connecting to the owner, and waiting for its state.
	RequestTimeout = 3 * time.Second
	maxSocketPath  = 100 // bytes; a longer path does not fit into a socket address
)

// Ownership is the right to use the node's state, and what the previous owner handed over with it.
type Ownership struct {
	Lock        *os.File
	Upgrade     bool   // another process owned the node when this one started
	Predecessor *Link  // link to that process; nil unless it has handed over
	State       *State // the state that it has handed over; nil unless it has
}

// Acquire waits for the lock on the state folder dir. If request is set, it also asks the owner to hand over;
// otherwise it stands by until the owner is gone.
func Acquire(ctx context.Context, dir string, request bool) (Ownership, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return Ownership{}, fmt.Errorf("ownership: %w", err)
	}
	upgrade := false
	for {
		err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return Ownership{Lock: f, Upgrade: upgrade}, nil
		}
		if errors.Is(err, syscall.EINTR) {
			continue // interrupted before it was known whether the lock is held
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) {
			return Ownership{}, errors.Join(fmt.Errorf("ownership: %w", err), f.Close())
		}
		upgrade = true
		if request {
			if c, err := requestOwnership(ctx, dir); err == nil {
				return c, f.Close() // the received descriptor holds the lock
			}
		}
		if !backoff.Sleep(ctx, LockRetryInterval) {
			return Ownership{}, errors.Join(ctx.Err(), f.Close())
		}
	}
}

// requestOwnership asks the owner to hand over.
func requestOwnership(ctx context.Context, dir string) (Ownership, error) {
	path, closeDir, err := SocketPath(dir)
	if err != nil {
		return Ownership{}, err
	}
	defer closeDir()
	nc, err := (&net.Dialer{Timeout: RequestTimeout}).DialContext(ctx, "unix", path)
	if err != nil {
		return Ownership{}, err
	}
	l := &Link{Conn: nc.(*net.UnixConn)}
	if err := l.Send(Frame{Ask: true}, -1); err != nil {
		return Ownership{}, errors.Join(err, l.Close())
	}
	if err := nc.SetReadDeadline(time.Now().Add(RequestTimeout)); err != nil {
		return Ownership{}, errors.Join(err, l.Close())
	}
	f, lock, err := l.Receive()
	if err == nil && (f.State == nil || lock == nil) {
		err = ErrBadFrame
	}
	if err == nil {
		err = nc.SetReadDeadline(time.Time{})
	}
	if err != nil {
		if lock != nil {
			lock.Close()
		}
		return Ownership{}, errors.Join(err, l.Close())
	}
	return Ownership{Lock: lock, Upgrade: true, Predecessor: l, State: f.State}, nil
}

// Listen opens the socket on which later processes ask for a hand-over. The caller holds the lock, so that a
// socket file which is there already belongs to no running process.
func Listen(dir string) (*net.UnixListener, error) {
	path, closeDir, err := SocketPath(dir)
	if err != nil {
		return nil, err
	}
	defer closeDir()
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // by then the file may be that of a successor
	return ln, nil
}

// SocketPath returns the path of the socket in dir. If the path is too long for a socket address, it returns
// one by way of a descriptor of the folder, which is valid until done is called.
func SocketPath(dir string) (path string, done func(), err error) {
	if path = filepath.Join(dir, socketName); len(path) <= maxSocketPath {
		return path, func() {}, nil
	}
	f, err := os.Open(dir)
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", f.Fd(), socketName), func() { f.Close() }, nil
}

// IsLocked reports whether a process owns the state folder now. It changes nothing.
func IsLocked(dir string) (bool, error) {
	f, err := os.Open(filepath.Join(dir, lockName))
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("ownership: %w", err)
	}
	defer f.Close() // releases the lock, if taking it succeeded
	for {
		err = syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB)
		if !errors.Is(err, syscall.EINTR) {
			break
		}
	}
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return true, nil
	}
	if err != nil {
		return false, fmt.Errorf("ownership: %w", err)
	}
	return false, nil
}

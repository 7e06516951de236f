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

// During an upgrade two processes are one node. The journal, the decisions and each message belong to the one that
// holds a lock on a file in the lasting folder. The kernel gives it up when its holder dies, however that happens;
// on a handover its descriptor is passed, so that it is never free in between.

const (
	lockName          = "lock"
	socketName        = "handover"
	LockRetryInterval = 20 * time.Millisecond // between tries for a lock that another process holds
	RequestTimeout    = 3 * time.Second       // for the owner's state, once it has been asked
	maxSocketPath     = 100                   // a longer path does not fit into a socket's address
)

// Claim is the right to own the node's state, and what came with it.
type Ownership struct {
	Lock        *os.File
	Upgrade     bool   // another process owned the node when this one came
	Predecessor *Link  // to that process, if it has handed over
	State       *State // likewise
}

// Acquire waits for the lock. If ask is set it asks the owner to hand over; otherwise it is a stand-by.
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
			continue // nobody was found to own it
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) {
			return Ownership{}, errors.Join(fmt.Errorf("ownership: %w", err), f.Close())
		}
		upgrade = true
		if request {
			if c, err := requestOwnership(ctx, dir); err == nil {
				return c, f.Close() // the lock is that of the descriptor that came
			}
		}
		if !backoff.Sleep(ctx, LockRetryInterval) {
			return Ownership{}, errors.Join(ctx.Err(), f.Close())
		}
	}
}

// askOwner asks the owner to hand over.
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

// Listen opens the socket at which a later process asks. The lock is held, so a file that stands there
// is nobody's.
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
	ln.SetUnlinkOnClose(false) // by then a successor's may stand there
	return ln, nil
}

// SocketPath is the socket's path, by way of the folder's descriptor where it is too long for an address.
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

// Held tells whether a process owns the folder now. It changes nothing.
func IsLocked(dir string) (bool, error) {
	f, err := os.Open(filepath.Join(dir, lockName))
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("ownership: %w", err)
	}
	defer f.Close() // gives back the lock that a free folder lets us have
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

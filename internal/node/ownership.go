package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// During an upgrade two processes are one node. The journal, the decisions and each message belong to the one that
// holds a lock on a file in the lasting folder. The kernel gives it up when its holder dies, however that happens;
// on a handover its descriptor is passed, so that it is never free in between.

const (
	lockName   = "lock"
	socketName = "handover"
	askPause   = 20 * time.Millisecond // between tries for a lock that another process holds
	askTimeout = 3 * time.Second       // for the owner's state, once it has been asked
	maxSunPath = 100                   // a longer path does not fit into a socket's address
)

// claim is the right to own the node's state, and what came with it.
type claim struct {
	lock    *os.File
	upgrade bool         // another process owned the node when this one came
	from    *link        // to that process, if it has handed over
	state   *carriedNode // likewise
}

// claimNode waits for the lock. If ask is set it asks the owner to hand over; otherwise it is a stand-by.
func claimNode(ctx context.Context, dir string, ask bool) (claim, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return claim{}, fmt.Errorf("ownership: %w", err)
	}
	for upgrade := false; ; upgrade = true {
		err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return claim{lock: f, upgrade: upgrade}, nil
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) && !errors.Is(err, syscall.EINTR) {
			return claim{}, errors.Join(fmt.Errorf("ownership: %w", err), f.Close())
		}
		if ask {
			if c, err := askOwner(ctx, dir); err == nil {
				return c, f.Close() // the lock is that of the descriptor that came
			}
		}
		if !sleep(ctx, askPause) {
			return claim{}, errors.Join(ctx.Err(), f.Close())
		}
	}
}

// askOwner asks the owner to hand over.
func askOwner(ctx context.Context, dir string) (claim, error) {
	path, closeDir, err := socketPath(dir)
	if err != nil {
		return claim{}, err
	}
	defer closeDir()
	nc, err := (&net.Dialer{Timeout: askTimeout}).DialContext(ctx, "unix", path)
	if err != nil {
		return claim{}, err
	}
	l := &link{c: nc.(*net.UnixConn)}
	if err := l.send(frame{Ask: true}, -1); err != nil {
		return claim{}, errors.Join(err, l.close())
	}
	if err := nc.SetReadDeadline(time.Now().Add(askTimeout)); err != nil {
		return claim{}, errors.Join(err, l.close())
	}
	f, lock, err := l.receive()
	if err == nil && (f.State == nil || lock == nil) {
		err = errLink
	}
	if err == nil {
		err = nc.SetReadDeadline(time.Time{})
	}
	if err != nil {
		if lock != nil {
			lock.Close()
		}
		return claim{}, errors.Join(err, l.close())
	}
	return claim{lock: lock, upgrade: true, from: l, state: f.State}, nil
}

// listenForSuccessor opens the socket at which a later process asks. The lock is held, so a file that stands there
// is nobody's.
func listenForSuccessor(dir string) (*net.UnixListener, error) {
	path, closeDir, err := socketPath(dir)
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

// socketPath is the socket's path, by way of the folder's descriptor where it is too long for an address.
func socketPath(dir string) (path string, done func(), err error) {
	if path = filepath.Join(dir, socketName); len(path) <= maxSunPath {
		return path, func() {}, nil
	}
	f, err := os.Open(dir)
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", f.Fd(), socketName), func() { f.Close() }, nil
}

// successors hands each process that asks to the loop, until ln is closed.
func (n *Node) successors(ctx context.Context, ln *net.UnixListener) {
	for {
		nc, err := ln.AcceptUnix()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || !sleep(ctx, firstBackoff) {
				return
			}
			continue
		}
		l := &link{c: nc}
		if err := nc.SetReadDeadline(time.Now().Add(closeGrace)); err == nil {
			var f frame
			if f, _, err = l.receive(); err == nil && f.Ask && nc.SetReadDeadline(time.Time{}) == nil {
				select {
				case n.asks <- l:
					continue
				case <-ctx.Done():
				}
			}
		}
		l.close()
	}
}

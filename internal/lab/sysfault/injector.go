package sysfault

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	pollTimeoutMS = 100
	maxPathBytes  = 4096
)

// notification is the kernel's struct seccomp_notif.
type notification struct {
	id    uint64
	pid   uint32
	flags uint32
	data  struct {
		number             int32
		arch               uint32
		instructionPointer uint64
		args               [6]uint64
	}
}

// response is the kernel's struct seccomp_notif_resp.
type response struct {
	id    uint64
	value int64
	errno int32
	flags uint32
}

// Injector responds to the notifications of one process's filter.
type Injector struct {
	listener, pidfd, pid int
	decide               func(Call) Verdict
	done                 chan struct{}
	maxResponseNS        atomic.Int64 // nanoseconds
	interrupted          atomic.Int64
}

// MaxResponseTime is the longest time that the Injector has taken to respond to a call.
func (in *Injector) MaxResponseTime() time.Duration { return time.Duration(in.maxResponseNS.Load()) }

// Done is closed when the process has ended.
func (in *Injector) Done() <-chan struct{} { return in.done }

func (in *Injector) run() {
	defer close(in.done)
	defer unix.Close(in.pidfd)
	defer unix.Close(in.listener)
	for {
		ready := []unix.PollFd{{Fd: int32(in.listener), Events: unix.POLLIN}}
		if _, err := unix.Poll(ready, pollTimeoutMS); err != nil && !errors.Is(err, unix.EINTR) {
			return
		}
		if ready[0].Revents&unix.POLLIN == 0 {
			if ready[0].Revents&(unix.POLLHUP|unix.POLLERR) != 0 {
				return
			}
			continue
		}
		var n notification
		if !in.ioctl(unix.SECCOMP_IOCTL_NOTIF_RECV, unsafe.Pointer(&n)) {
			continue // the thread was killed meanwhile
		}
		began := time.Now()
		r := in.respond(&n)
		if took := int64(time.Since(began)); took > in.maxResponseNS.Load() {
			in.maxResponseNS.Store(took)
		}
		in.ioctl(unix.SECCOMP_IOCTL_NOTIF_SEND, unsafe.Pointer(&r)) // fails only if the thread was killed meanwhile
	}
}

// ioctl makes a request on the listener, and repeats it if a signal interrupts it: a response that is not sent would
// block the waiting thread forever.
func (in *Injector) ioctl(request uint, argument unsafe.Pointer) bool {
	for {
		_, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(in.listener), uintptr(request), uintptr(argument))
		if errno != unix.EINTR {
			return errno == 0
		}
		in.interrupted.Add(1)
	}
}

// Interrupted is the number of requests on the listener that a signal interrupted and that were repeated.
func (in *Injector) Interrupted() int64 { return in.interrupted.Load() }

// respond gets the verdict on a call and carries out what the kernel cannot: a shorter transfer, and the end of the
// process.
func (in *Injector) respond(n *notification) response {
	r := response{id: n.id, flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}
	c := in.decodeCall(n)
	v := in.decide(c)
	if v.MaxBytes > 0 && (v.MaxBytes < c.Size || v.Errno != 0) {
		if moved, errno, ok := in.transfer(n, v.MaxBytes); ok {
			r.flags, r.value, r.errno = 0, int64(moved), -int32(errno)
		}
	}
	if v.Kill {
		unix.PidfdSendSignal(in.pidfd, unix.SIGKILL, nil, 0) // fails only if the process has ended
		r.flags, r.errno = 0, -int32(unix.EIO)
	}
	if v.Errno != 0 {
		r.flags, r.value, r.errno = 0, 0, -int32(v.Errno)
	}
	return r
}

// decodeCall describes the call of a notification.
func (in *Injector) decodeCall(n *notification) Call {
	c := Call{Number: int(n.data.number)}
	args := n.data.args
	switch c.Number {
	case unix.SYS_OPENAT, unix.SYS_UNLINKAT:
		c.Path = in.readPath(uintptr(args[1]))
	case unix.SYS_RENAMEAT:
		c.Path = in.readPath(uintptr(args[3]))
	case unix.SYS_READ, unix.SYS_WRITE, unix.SYS_PREAD64, unix.SYS_PWRITE64:
		c.Size = int(args[2])
		fallthrough
	case unix.SYS_FTRUNCATE, unix.SYS_FSYNC, unix.SYS_FDATASYNC:
		path, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", in.pid, int32(args[0])))
		if err != nil {
			break // the descriptor was closed meanwhile
		}
		if c.Socket = strings.HasPrefix(path, "socket:"); !c.Socket {
			c.Path = path
		}
	}
	return c
}

// readPath reads a path from the process's memory. It returns "" if the memory cannot be read.
func (in *Injector) readPath(address uintptr) string {
	b := make([]byte, maxPathBytes)
	n, err := unix.ProcessVMReadv(in.pid, iovec(b), []unix.RemoteIovec{{Base: address, Len: len(b)}}, 0)
	if err != nil {
		// The page after the path's may not be mapped: read only to the end of this page.
		rest := os.Getpagesize() - int(address)%os.Getpagesize()
		n, err = unix.ProcessVMReadv(in.pid, iovec(b), []unix.RemoteIovec{{Base: address, Len: min(rest, len(b))}}, 0)
	}
	if err != nil {
		return ""
	}
	path, _, _ := strings.Cut(string(b[:n]), "\x00")
	return path
}

func iovec(b []byte) []unix.Iovec {
	v := []unix.Iovec{{Base: &b[0]}}
	v[0].SetLen(len(b))
	return v
}

// transfer executes a read or write of at most maxBytes for the process. ok is false if that is not possible.
func (in *Injector) transfer(n *notification, maxBytes int) (moved int, errno syscall.Errno, ok bool) {
	args := n.data.args
	fd, err := unix.PidfdGetfd(in.pidfd, int(int32(args[0])), 0)
	if err != nil {
		return 0, 0, false
	}
	defer unix.Close(fd)
	b := make([]byte, maxBytes)
	remote := []unix.RemoteIovec{{Base: uintptr(args[1]), Len: maxBytes}}
	number := int(n.data.number)
	if number == unix.SYS_WRITE || number == unix.SYS_PWRITE64 {
		if got, err := unix.ProcessVMReadv(in.pid, iovec(b), remote, 0); err != nil || got != maxBytes {
			return 0, 0, false
		}
	}
	switch number {
	case unix.SYS_READ:
		moved, err = unix.Read(fd, b)
	case unix.SYS_PREAD64:
		moved, err = unix.Pread(fd, b, int64(args[3]))
	case unix.SYS_WRITE:
		moved, err = unix.Write(fd, b)
	case unix.SYS_PWRITE64:
		moved, err = unix.Pwrite(fd, b, int64(args[3]))
	default:
		return 0, 0, false
	}
	if err != nil {
		errno, _ := errors.AsType[syscall.Errno](err)
		return 0, errno, true
	}
	if moved > 0 && (number == unix.SYS_READ || number == unix.SYS_PREAD64) {
		if !in.writeMemory(b[:moved], uintptr(args[1])) {
			return 0, unix.EFAULT, true
		}
	}
	return moved, 0, true
}

// writeMemory writes bytes to the process's memory.
func (in *Injector) writeMemory(b []byte, address uintptr) bool {
	local, remote := iovec(b), unix.RemoteIovec{Base: address, Len: len(b)}
	n, _, errno := unix.Syscall6(unix.SYS_PROCESS_VM_WRITEV, uintptr(in.pid), uintptr(unsafe.Pointer(&local[0])), 1,
		uintptr(unsafe.Pointer(&remote)), 1, 0)
	return errno == 0 && int(n) == len(b)
}

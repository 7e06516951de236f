// Package sysfault injects faults into system calls of one process: chosen calls fail, transfer fewer bytes than
// requested, or leave torn writes. The process installs a seccomp filter on itself before it executes its program, and
// passes the filter's notification descriptor (the listener) to its parent. Each filtered call then waits for the
// decision of the parent's Injector. This needs no privileges and affects no other process.
package sysfault

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// socketEnv is the environment variable with the number of the socket over which a process sends its listener.
const socketEnv = "SYSFAULT_SOCKET"

// filteredCalls are the system calls that an Injector decides on. All others are allowed.
var filteredCalls = []uint32{
	unix.SYS_READ, unix.SYS_WRITE, unix.SYS_PREAD64, unix.SYS_PWRITE64, unix.SYS_ACCEPT4, unix.SYS_SOCKET, unix.SYS_CONNECT,
	unix.SYS_OPENAT, unix.SYS_FTRUNCATE, unix.SYS_RENAMEAT, unix.SYS_UNLINKAT, unix.SYS_FSYNC, unix.SYS_FDATASYNC,
}

// ExecRequired returns whether this process was started by Start and has to call Exec.
func ExecRequired() bool { return os.Getenv(socketEnv) != "" }

// Exec installs the filter, sends the listener to the Injector, and replaces this process with program. It returns only
// if that fails.
func Exec(program string, args []string) error {
	socket, err := strconv.Atoi(os.Getenv(socketEnv))
	if err != nil {
		return fmt.Errorf("sysfault: %s: %w", socketEnv, err)
	}
	if err := os.Unsetenv(socketEnv); err != nil {
		return fmt.Errorf("sysfault: %w", err)
	}
	unix.CloseOnExec(socket)
	runtime.LockOSThread() // the filter applies to this thread, which must also be the one that calls exec
	listener, err := installFilter()
	if err != nil {
		return err
	}
	if err := unix.Sendmsg(socket, []byte{0}, unix.UnixRights(listener), nil, 0); err != nil {
		return fmt.Errorf("sysfault: sending the listener: %w", err)
	}
	return fmt.Errorf("sysfault: exec: %w", unix.Exec(program, args, os.Environ()))
}

// installFilter makes the filtered calls of this thread wait for a response on the listener that it returns.
func installFilter() (listener int, err error) {
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return 0, fmt.Errorf("sysfault: %w", err)
	}
	program := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS}} // loads the call's number, at offset 0
	for i, number := range filteredCalls {
		program = append(program, unix.SockFilter{
			Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: uint8(len(filteredCalls) - i), K: number,
		})
	}
	program = append(program,
		unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ALLOW},
		unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_USER_NOTIF})
	compiled := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	fd, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER,
		unix.SECCOMP_FILTER_FLAG_NEW_LISTENER|unix.SECCOMP_FILTER_FLAG_WAIT_KILLABLE_RECV, uintptr(unsafe.Pointer(&compiled)))
	if errno != 0 {
		return 0, fmt.Errorf("sysfault: seccomp: %w", errno)
	}
	return int(fd), nil
}

// Start starts a command whose program calls Exec. decide is called on one goroutine and returns the verdict for each
// filtered call. The Injector ends with the process.
func Start(cmd *exec.Cmd, decide func(Call) Verdict) (*Injector, error) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("sysfault: %w", err)
	}
	ours, theirs := os.NewFile(uintptr(pair[0]), "sysfault"), os.NewFile(uintptr(pair[1]), "sysfault")
	defer ours.Close()
	cmd.ExtraFiles = append(cmd.ExtraFiles, theirs)
	cmd.Env = append(cmd.Env, fmt.Sprintf("%s=%d", socketEnv, 2+len(cmd.ExtraFiles)))
	err = cmd.Start()
	theirs.Close()
	if err != nil {
		return nil, err
	}
	listener, err := receiveListener(int(ours.Fd()))
	if err != nil {
		return nil, errors.Join(err, cmd.Process.Kill(), cmd.Wait())
	}
	pidfd, err := unix.PidfdOpen(cmd.Process.Pid, 0)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("sysfault: %w", err), unix.Close(listener), cmd.Process.Kill(), cmd.Wait())
	}
	in := &Injector{listener: listener, pidfd: pidfd, pid: cmd.Process.Pid, decide: decide, done: make(chan struct{})}
	go in.run()
	return in, nil
}

func receiveListener(socket int) (int, error) {
	var data [1]byte
	control := make([]byte, unix.CmsgSpace(4))
	_, n, _, _, err := unix.Recvmsg(socket, data[:], control, unix.MSG_CMSG_CLOEXEC)
	if err != nil {
		return 0, fmt.Errorf("sysfault: %w", err)
	}
	messages, err := unix.ParseSocketControlMessage(control[:n])
	if err != nil || len(messages) != 1 {
		return 0, errors.Join(errors.New("sysfault: the process did not send its listener"), err)
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return 0, errors.Join(errors.New("sysfault: the process did not send exactly one listener"), err)
	}
	return fds[0], nil
}

// Call is a system call that waits for a verdict.
type Call struct {
	Number int    // for example unix.SYS_READ
	Path   string // path of the file that the call names, reads or writes; empty for a socket
	Socket bool   // the call reads or writes a socket
	Size   int    // number of bytes requested to be read or written
}

// Verdict is the decision on a call. The zero value lets the call proceed.
type Verdict struct {
	Errno    syscall.Errno // the call fails with it, after MaxBytes are transferred if that is not 0; 0 for none
	MaxBytes int           // for reads and writes, the maximum number of bytes transferred; 0 for no limit
	Kill     bool          // the process is killed, after MaxBytes are transferred if that is not 0
}

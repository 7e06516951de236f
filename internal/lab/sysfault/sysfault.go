// Package sysfault makes chosen system calls of one process fail, transfer fewer bytes than asked for, or tear what they
// write. The process installs a seccomp filter on itself before it runs its program, and hands the filter's listener to
// whoever started it: each filtered call waits until an Injector has said what becomes of it. It needs no special rights
// and touches no other process.
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

// socketEnv names the descriptor by which a process hands over its listener.
const socketEnv = "SYSFAULT_SOCKET"

// filtered are the system calls that an Injector decides on; all others go on undisturbed.
var filteredCalls = []uint32{
	unix.SYS_READ, unix.SYS_WRITE, unix.SYS_PREAD64, unix.SYS_PWRITE64, unix.SYS_ACCEPT4, unix.SYS_SOCKET, unix.SYS_CONNECT,
	unix.SYS_OPENAT, unix.SYS_FTRUNCATE, unix.SYS_RENAMEAT, unix.SYS_UNLINKAT, unix.SYS_FSYNC, unix.SYS_FDATASYNC,
}

// Requested tells whether this process was started by an Injector and has to call Exec.
func ExecRequired() bool { return os.Getenv(socketEnv) != "" }

// Exec filters this process's system calls, hands the listener to the Injector, and runs program in this process's place.
// It returns only if that fails.
func Exec(program string, args []string) error {
	socket, err := strconv.Atoi(os.Getenv(socketEnv))
	if err != nil {
		return fmt.Errorf("sysfault: %s: %w", socketEnv, err)
	}
	if err := os.Unsetenv(socketEnv); err != nil {
		return fmt.Errorf("sysfault: %w", err)
	}
	unix.CloseOnExec(socket)
	runtime.LockOSThread() // the filter is this thread's, and so is the program that takes its place
	listener, err := installFilter()
	if err != nil {
		return err
	}
	if err := unix.Sendmsg(socket, []byte{0}, unix.UnixRights(listener), nil, 0); err != nil {
		return fmt.Errorf("sysfault: the listener was not handed over: %w", err)
	}
	return fmt.Errorf("sysfault: exec: %w", unix.Exec(program, args, os.Environ()))
}

// filter has the filtered calls of this thread wait for whoever holds the listener that it returns.
func installFilter() (listener int, err error) {
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return 0, fmt.Errorf("sysfault: %w", err)
	}
	program := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS}} // the call's number, at offset 0
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

// Start starts a command whose program calls Exec, and has decide say what becomes of each filtered call. decide runs on
// one goroutine. The Injector ends with the process.
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
		return 0, errors.Join(errors.New("sysfault: the process has not handed over its listener"), err)
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return 0, errors.Join(errors.New("sysfault: not one listener"), err)
	}
	return fds[0], nil
}

// Call is a system call that is about to be made.
type Call struct {
	Number int    // unix.SYS_READ and so on
	Path   string // of the file that it names, reads or writes; empty for a socket
	Socket bool   // it reads or writes a socket
	Size   int    // bytes that it asks to read or write
}

// Verdict is what becomes of a call. The zero value lets it go on.
type Verdict struct {
	Errno    syscall.Errno // it fails so, after Most bytes have been transferred if that is not 0; 0 for no failure
	MaxBytes int           // it transfers no more bytes than this; 0 for any number. Only of reads and writes
	Kill     bool          // the process is killed, after Most bytes have been transferred if that is not 0
}

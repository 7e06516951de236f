// Package tcpinfo reads the kernel's description of a TCP connection.
package tcpinfo

import (
	"errors"
	"net"
	"slices"
	"syscall"

	"golang.org/x/sys/unix"
)

// unsupportedErrnos mean that the kernel can't describe the connection.
var unsupportedErrnos = []syscall.Errno{syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.ENOTSOCK, syscall.ENOSYS, syscall.EINVAL}

// Get returns the kernel's description of a connection. The error is errors.ErrUnsupported if there is none, because it is
// not a TCP connection.
func Get(nc net.Conn) (*unix.TCPInfo, error) {
	socket, ok := nc.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	var info *unix.TCPInfo
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		info, optionErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if number, ok := errors.AsType[syscall.Errno](optionErr); ok && slices.Contains(unsupportedErrnos, number) {
		return nil, errors.ErrUnsupported
	}
	return info, errors.Join(err, optionErr)
}

// Established reports whether neither side has ended the connection that info describes.
func Established(info *unix.TCPInfo) bool { return info.State == unix.BPF_TCP_ESTABLISHED }

// endedStates are the states of a connection that its peer has ended, or its sending side.
var endedStates = []uint8{unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSING, unix.BPF_TCP_TIME_WAIT, unix.BPF_TCP_CLOSE}

// PeerGone reports whether the peer has closed or reset a connection, or its sending side, even if input is still unread.
// It reports false if the kernel does not say.
func PeerGone(nc net.Conn) bool {
	info, err := Get(nc)
	return err == nil && slices.Contains(endedStates, info.State)
}

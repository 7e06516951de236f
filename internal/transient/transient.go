// Package transient tells failures of system calls that may be over in a moment from lasting ones, and repeats what has
// failed so.
package transient

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"harrierramp/internal/backoff"
)

// Pauses between two tries.
const (
	RetryDelay      = 50 * time.Millisecond
	localRetryDelay = 20 * time.Millisecond
)

// localErrnos say that this machine was short of something, or could not do what it usually can. They say nothing of a peer.
var localErrnos = []syscall.Errno{
	syscall.EINTR, syscall.EAGAIN, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.ENETUNREACH, syscall.ENETDOWN,
}

// fileErrnos are of files and their disk.
var fileErrnos = []syscall.Errno{syscall.EIO, syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG}

// Local tells that an error is this machine's own and may pass: it had no descriptor, buffer, address or route to spare.
func IsLocal(err error) bool { return hasErrno(err, localErrnos) }

// Is tells that an error of a system call may pass: one that is Local, or of a file that could not be read or written.
func Is(err error) bool { return IsLocal(err) || hasErrno(err, fileErrnos) }

func hasErrno(err error, errnos []syscall.Errno) bool {
	errno, ok := errors.AsType[syscall.Errno](err)
	return ok && slices.Contains(errnos, errno)
}

// Retry repeats do while its error may pass, until patience is over or ctx ends, and returns its last error. failed, if it
// is not nil, hears of each failure that is tried again.
func Retry(ctx context.Context, timeout time.Duration, onRetry func(error), do func() error) error {
	return retryWhile(ctx, timeout, RetryDelay, func(err error) bool {
		if Is(err) && onRetry != nil {
			onRetry(err)
		}
		return Is(err)
	}, do)
}

// RetryLocal is Retry for what is wanted at once: only while its error is Local, and with short pauses.
func RetryLocal(ctx context.Context, timeout time.Duration, do func() error) error {
	return retryWhile(ctx, timeout, localRetryDelay, IsLocal, do)
}

func retryWhile(ctx context.Context, timeout, delay time.Duration, retryable func(error) bool, do func() error) error {
	for end := time.Now().Add(timeout); ; {
		err := do()
		if err == nil || time.Now().After(end) || !retryable(err) || !backoff.Sleep(ctx, delay) {
			return err
		}
	}
}

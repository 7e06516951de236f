// Package transient classifies errors of system calls as transient or permanent, and retries operations that fail with
// a transient error.
package transient

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"harrierramp/internal/backoff"
)

// Delays between retries.
const (
	RetryDelay      = 50 * time.Millisecond
	localRetryDelay = 20 * time.Millisecond
)

// localErrnos mean that this machine lacked a resource or was temporarily unable to perform an operation. They are no
// evidence of a fault of a peer.
var localErrnos = []syscall.Errno{
	syscall.EINTR, syscall.EAGAIN, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.ENETUNREACH, syscall.ENETDOWN,
}

// fileErrnos are transient errors of files and file systems.
var fileErrnos = []syscall.Errno{syscall.EIO, syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG}

// IsLocal reports whether err is a transient error of this machine: a lack of descriptors, buffers, addresses or
// routes.
func IsLocal(err error) bool { return hasErrno(err, localErrnos) }

// Is reports whether err is a transient error of a system call: a local one (see IsLocal), or one of reading or writing
// a file.
func Is(err error) bool { return IsLocal(err) || hasErrno(err, fileErrnos) }

func hasErrno(err error, errnos []syscall.Errno) bool {
	errno, ok := errors.AsType[syscall.Errno](err)
	return ok && slices.Contains(errnos, errno)
}

// Retry calls do until it succeeds or fails with a permanent error, until timeout has passed, or until ctx is done, and
// returns its last error. onRetry, if not nil, is called with each error that is retried.
func Retry(ctx context.Context, timeout time.Duration, onRetry func(error), do func() error) error {
	return retryWhile(ctx, timeout, RetryDelay, func(err error) bool {
		if Is(err) && onRetry != nil {
			onRetry(err)
		}
		return Is(err)
	}, do)
}

// RetryLocal is like Retry for latency-sensitive operations: it retries only local errors (see IsLocal), and with a
// short delay.
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

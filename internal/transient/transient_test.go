package transient

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

func TestErrorClassification(t *testing.T) {
	for _, c := range []struct {
		err       error
		is, local bool
	}{
		{nil, false, false},
		{errors.New("other"), false, false},
		{syscall.ECONNREFUSED, false, false},
		{os.ErrNotExist, false, false},
		{&os.PathError{Op: "write", Path: "f", Err: syscall.ENOSPC}, true, false},
		{fmt.Errorf("journal: %w", &os.PathError{Op: "open", Path: "f", Err: syscall.ENFILE}), true, true},
		{&net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.ENOBUFS)}, true, true},
		{&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.EADDRNOTAVAIL)}, true, true},
		{&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ETIMEDOUT)}, false, false},
		{errors.Join(errors.New("first"), syscall.EIO), true, false},
	} {
		if Is(c.err) != c.is || IsLocal(c.err) != c.local {
			t.Errorf("%v: transient %v, local %v", c.err, Is(c.err), IsLocal(c.err))
		}
	}
}

func TestRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, tries, heard := time.Now(), 0, 0
		until := func(over time.Duration, err error) func() error {
			return func() error {
				if tries++; time.Since(began) < over {
					return err
				}
				return nil
			}
		}
		ctx := context.Background()
		if err := Retry(ctx, time.Second, func(error) { heard++ }, until(300*time.Millisecond, syscall.EIO)); err != nil || tries != 7 || heard != 6 {
			t.Errorf("%v after %d tries, %d calls of onRetry", err, tries, heard)
		}
		began = time.Now()
		if err := Retry(ctx, time.Second, nil, until(time.Hour, syscall.EIO)); err != syscall.EIO || time.Since(began) > 1100*time.Millisecond {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		tries = 0
		if err := Retry(ctx, time.Second, nil, until(time.Hour, os.ErrNotExist)); err != os.ErrNotExist || tries != 1 {
			t.Errorf("%v after %d tries", err, tries)
		}
		ended, cancel := context.WithCancel(ctx)
		cancel()
		if err := Retry(ended, time.Second, nil, until(time.Hour, syscall.EIO)); err != syscall.EIO {
			t.Errorf("%v with a context that has ended", err)
		}
	})
}

// flakyStream is a stream whose every other call fails with a lack of memory, and otherwise transfers one byte.
type flakyStream struct {
	text  []byte
	calls int
	err   error
}

func (s *flakyStream) transfer() error {
	if s.calls++; s.calls%2 == 1 {
		return &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ENOMEM)}
	}
	return nil
}

func (s *flakyStream) Read(p []byte) (int, error) {
	if err := s.transfer(); err != nil {
		return 0, err
	}
	if len(s.text) == 0 {
		return 0, s.err
	}
	p[0], s.text = s.text[0], s.text[1:]
	return 1, nil
}

func (s *flakyStream) Write(p []byte) (int, error) {
	s.text = append(s.text, p[0])
	if len(p) == 1 {
		return 1, s.err
	}
	return 1, &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ENOBUFS)}
}

func TestStreamRetriesOnMemoryShortage(t *testing.T) {
	got, err := io.ReadAll(Reader(&flakyStream{text: []byte("text"), err: io.EOF}))
	if string(got) != "text" || err != nil {
		t.Errorf("read %q, %v", got, err)
	}
	if _, err := Reader(&flakyStream{err: os.ErrDeadlineExceeded}).Read(make([]byte, 1)); err != os.ErrDeadlineExceeded {
		t.Errorf("got %v", err)
	}
	var out flakyStream
	if n, err := Write(&out, []byte("text")); n != 4 || err != nil || string(out.text) != "text" {
		t.Errorf("%d bytes, %q, %v", n, out.text, err)
	}
	out.err = syscall.EPIPE
	if n, err := Write(&out, []byte("t")); n != 1 || err != syscall.EPIPE {
		t.Errorf("%d bytes, %v", n, err)
	}
}

// unreachableStream is a stream whose first calls fail because the peer is unreachable.
type unreachableStream struct{ fails, calls int }

func (u *unreachableStream) Read(p []byte) (int, error) { return u.Write(p) }

func (u *unreachableStream) Write(p []byte) (int, error) {
	if u.calls++; u.calls <= u.fails {
		return 0, &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.EHOSTUNREACH)}
	}
	return len(p), nil
}

func TestUnreachablePeerIsRetriedOnce(t *testing.T) {
	for fails, want := range []error{nil, nil, syscall.EHOSTUNREACH} {
		if _, err := Reader(&unreachableStream{fails: fails}).Read(make([]byte, 1)); !errors.Is(err, want) {
			t.Errorf("read, %d failures: %v", fails, err)
		}
		if _, err := Write(&unreachableStream{fails: fails}, []byte("x")); !errors.Is(err, want) {
			t.Errorf("write, %d failures: %v", fails, err)
		}
	}
}

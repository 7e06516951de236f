package transient

import (
	"io"
	"syscall"
	"time"
)

const streamRetryDelay = 5 * time.Millisecond

// softErrnos are errors that the kernel may report once although the connection is intact. If it is not, the next read
// or write fails too.
var softErrnos = []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EHOSTDOWN}

// Reader returns a reader of r that retries reads after local errors (see IsLocal), and once after an error that says
// that the peer is unreachable. A deadline or the close of r ends the retries.
func Reader(r io.Reader) io.Reader { return reader{r} }

type reader struct{ src io.Reader }

func (r reader) Read(p []byte) (int, error) {
	for softRetried := false; ; {
		n, err := r.src.Read(p)
		if n > 0 || !shouldRetry(err, &softRetried) {
			return n, err
		}
		time.Sleep(streamRetryDelay)
	}
}

// shouldRetry reports whether an operation that failed with err is to be retried. *softRetried records that the single
// retry for errors of softErrnos has been used.
func shouldRetry(err error, softRetried *bool) bool {
	if IsLocal(err) {
		return true
	}
	first := hasErrno(err, softErrnos) && !*softRetried
	*softRetried = *softRetried || first
	return first
}

// Write writes all of b to w and returns how many bytes were written. It continues after local errors (see IsLocal),
// and once after an error that says that the peer is unreachable. A deadline or the close of w ends the retries.
func Write(w io.Writer, b []byte) (written int, err error) {
	for softRetried := false; ; {
		n, err := w.Write(b[written:])
		written += n
		if err == nil || !shouldRetry(err, &softRetried) {
			return written, err
		}
		time.Sleep(streamRetryDelay)
	}
}

package transient

import (
	"io"
	"syscall"
	"time"
)

const streamRetryDelay = 5 * time.Millisecond

// softErrnos are told once of a connection that may stand: where it does not, the next read or write says so.
var softErrnos = []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EHOSTDOWN}

// Reader reads from r, again where that had no memory or buffer to spare, and once where a peer could not be reached. A
// deadline of r's, or its end, ends that.
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

// again tells whether what has failed so is worth another try; soft is whether an error of softErrnos has had its one.
func shouldRetry(err error, softRetried *bool) bool {
	if IsLocal(err) {
		return true
	}
	first := hasErrno(err, softErrnos) && !*softRetried
	*softRetried = *softRetried || first
	return first
}

// Write writes all of b to w, and goes on where w had no memory or buffer to spare, and once where a peer could not be
// reached. A deadline of w's, or its end, ends that. It returns how many bytes were written.
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

package transient

import (
	"io"
	"time"
)

const streamPause = 5 * time.Millisecond

// Reader reads from r, again where that had no memory or buffer to spare. A deadline of r's, or its end, ends that.
func Reader(r io.Reader) io.Reader { return reader{r} }

type reader struct{ src io.Reader }

func (r reader) Read(p []byte) (int, error) {
	for {
		n, err := r.src.Read(p)
		if n > 0 || !Local(err) {
			return n, err
		}
		time.Sleep(streamPause)
	}
}

// Write writes all of b to w, and goes on where w had no memory or buffer to spare. A deadline of w's, or its end, ends that.
// It returns how many bytes were written.
func Write(w io.Writer, b []byte) (written int, err error) {
	for {
		n, err := w.Write(b[written:])
		written += n
		if err == nil || !Local(err) {
			return written, err
		}
		time.Sleep(streamPause)
	}
}

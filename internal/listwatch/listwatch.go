// Package listwatch reads a watch of a list service: a chunked answer that stays open and holds one JSON object a
// line. Nodes follow their endpoints by it, and a list server its primary.
package listwatch

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	maxLine = 4 << 20
	// Silence is how long a watch may say nothing. An empty line comes every 2 s while the server is up.
	Silence = 10 * time.Second
)

// NewClient makes the client for watches, whose connections come from source, or from where the system chooses if that is
// nil.
func NewClient(source net.Addr) *http.Client {
	t := &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}
	if source != nil {
		t.DialContext = (&net.Dialer{LocalAddr: source}).DialContext
	}
	return &http.Client{Transport: t}
}

const maxSaid = 64 << 10 // of an answer to a Post

// ClockHeader says what a list server's clock showed when it took a post, in milliseconds since 1970.
const ClockHeader = "Registry-Clock-Ms"

// Post makes one post of JSON to a list server. There is no error if the server has taken it, which it says by 204; then
// the answer's head is returned.
func Post(ctx context.Context, client *http.Client, url string, body []byte) (http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	said, err := io.ReadAll(io.LimitReader(resp.Body, maxSaid)) // so that the connection serves again
	if err == nil && resp.StatusCode != http.StatusNoContent {
		err = fmt.Errorf("post: %s: %.100s", resp.Status, bytes.TrimSpace(said))
	}
	return resp.Header, err
}

// The headers by which a server says when to come: Retry-After in whole seconds, as everybody reads it, and the same to
// the millisecond. A turn is said again with the ask that keeps it.
const (
	waitHeader = "Retry-After-Ms"
	turnHeader = "Registry-Turn"
)

// TellWait writes that an ask is to be made again after a wait, which keeps a turn if that is not 0.
func TellWait(h http.Header, wait time.Duration, turn uint64) {
	ms := max((wait + time.Millisecond - 1).Milliseconds(), 1)
	h.Set("Retry-After", strconv.FormatInt((ms+999)/1000, 10))
	h.Set(waitHeader, strconv.FormatInt(ms, 10))
	if turn != 0 {
		h.Set(turnHeader, strconv.FormatUint(turn, 10))
	}
}

// StatusError is an answer that is no watch.
type StatusError struct {
	Code int
	Text string // the beginning of what the server says about it
	// Said is whether the server has said when to come, Wait what it said, which may be absurd: -1 where it can't be
	// read. Turn is what to say then, 0 for nothing.
	Said bool
	Wait time.Duration
	Turn uint64
}

// told reads when to come.
func (e *StatusError) told(h http.Header) {
	text := h.Get(waitHeader)
	if e.Said = text != ""; !e.Said {
		return
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if e.Wait = time.Duration(ms) * time.Millisecond; err != nil || ms > int64(time.Duration(math.MaxInt64)/time.Millisecond) {
		e.Wait = -1
	}
	e.Turn, _ = strconv.ParseUint(h.Get(turnHeader), 10, 64) // without one it is an ask like any other
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("watch: %d %s: %s", e.Code, http.StatusText(e.Code), e.Text)
}

// BeatHeader says, in milliseconds, how often a server that was asked for it says something.
const BeatHeader = "Registry-Beat-Ms"

// Watch is how a watch is followed. The functions may be nil.
type Watch struct {
	Patience time.Duration // for the first line
	Opened   func(beat time.Duration)
	Heard    func() // for each line, also an empty one
}

// Lines follows one watch to its end, which is always an error, and hands on each line that is not empty. A watch that
// has gone silent is given up: its machine may be gone.
func Lines(ctx context.Context, client *http.Client, url string, w Watch, line func([]byte) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(w.Patience, cancel)
	defer silence.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, err := io.ReadAll(io.LimitReader(resp.Body, 256))
		no := &StatusError{Code: resp.StatusCode, Text: string(bytes.TrimSpace(text))}
		no.told(resp.Header)
		return errors.Join(no, err)
	}
	if w.Opened != nil {
		ms, err := strconv.ParseInt(resp.Header.Get(BeatHeader), 10, 64)
		if err != nil || ms < 0 || ms > Silence.Milliseconds() {
			ms = 0 // it says something when it likes
		}
		w.Opened(time.Duration(ms) * time.Millisecond)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 16<<10), maxLine)
	for lines.Scan() {
		silence.Reset(Silence)
		if w.Heard != nil {
			w.Heard()
		}
		if text := bytes.TrimSpace(lines.Bytes()); len(text) > 0 {
			if err := line(text); err != nil {
				return fmt.Errorf("watch: %w", err)
			}
		}
	}
	return errors.Join(lines.Err(), io.EOF)
}

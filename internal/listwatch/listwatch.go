// Package listwatch reads a watch of a list service: a chunked answer that stays open and holds one JSON object a
// line. Nodes follow their endpoints by it, and a list server its primary.
package listwatch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
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
	maxMessage = 4 << 20
	// Silence is how long a watch of the platform's discovery may go without a whole message or an empty line, which comes
	// every 2 s while it is up. What a silent watch misses counts as told 6 s after it fell silent. So two empty lines
	// may be missing, and what is left of the 6 s is for the watch that is opened in its place.
	IdleTimeout = 4500 * time.Millisecond
	// ServiceSilence is the same of the project's own list service, which is asked beside when it is silent: see Links.
	ServiceIdleTimeout = 10 * time.Second
	// dialTimeout bounds a dial, which goes on for others when the ask has ended that it was made for.
	dialTimeout = serviceResponseTimeout
)

// NewClient makes the client for watches, whose connections come from source, or from where the system chooses if that is
// nil.
func NewClient(source net.Addr) *http.Client {
	dialer := &net.Dialer{LocalAddr: source, Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 2, DisableCompression: true, DialContext: dialer.DialContext,
	}}
}

const maxPostResponse = 64 << 10 // of an answer to a Post

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
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxPostResponse)) // so that the connection serves again
	if err == nil && resp.StatusCode != http.StatusNoContent {
		err = fmt.Errorf("post: %s: %.100s", resp.Status, bytes.TrimSpace(reply))
	}
	return resp.Header, err
}

// The headers by which a server says when to come: Retry-After in whole seconds, as everybody reads it, and the same to
// the millisecond. A turn is said again with the ask that keeps it.
const (
	retryAfterMSHeader = "Retry-After-Ms"
	reservationHeader  = "Registry-Turn"
)

// TellWait writes that an ask is to be made again after a wait, which keeps a turn if that is not 0.
func SetRetryAfter(h http.Header, wait time.Duration, reservation uint64) {
	ms := max((wait + time.Millisecond - 1).Milliseconds(), 1)
	h.Set("Retry-After", strconv.FormatInt((ms+999)/1000, 10))
	h.Set(retryAfterMSHeader, strconv.FormatInt(ms, 10))
	if reservation != 0 {
		h.Set(reservationHeader, strconv.FormatUint(reservation, 10))
	}
}

// StatusError is an answer that is no watch.
type StatusError struct {
	Code int
	Text string // the beginning of what the server says about it
	// Said is whether the server has said when to come, Wait what it said, which may be absurd: -1 where it can't be
	// read. Turn is what to say then, 0 for nothing.
	HasRetryAfter bool
	RetryAfter    time.Duration
	Reservation   uint64
}

// told reads when to come.
func (e *StatusError) parseRetryAfter(h http.Header) {
	text := h.Get(retryAfterMSHeader)
	if e.HasRetryAfter = text != ""; !e.HasRetryAfter {
		return
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if e.RetryAfter = time.Duration(ms) * time.Millisecond; err != nil || ms > int64(time.Duration(math.MaxInt64)/time.Millisecond) {
		e.RetryAfter = -1
	}
	e.Reservation, _ = strconv.ParseUint(h.Get(reservationHeader), 10, 64) // without one it is an ask like any other
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("watch: %d %s: %s", e.Code, http.StatusText(e.Code), e.Text)
}

// BeatHeader says, in milliseconds, how often a server that was asked for it says something.
const HeartbeatHeader = "Registry-Beat-Ms"

// errSilent is the end of a watch that has said nothing for too long.
var errSilent = errors.New("it is silent")

// Watch is how a watch is followed. The functions may be nil.
type FollowOptions struct {
	ResponseTimeout time.Duration // from the ask, dial and head of the answer included, to the first message or empty line
	IdleTimeout     time.Duration // from one to the next; 0 for Silence
	OnOpen          func(beat time.Duration)
	OnActivity      func() // for each message, and each empty line between messages
}

// Follow follows one watch to its end, which is always an error, and hands on each message: a JSON value, on one line or
// indented over many. A watch that has gone silent is given up, for its machine may be gone; one that goes on with half a
// message, or with empty lines inside one, is silent too.
func Follow(ctx context.Context, client *http.Client, url string, opts FollowOptions, message func([]byte) error) error {
	if opts.IdleTimeout == 0 {
		opts.IdleTimeout = IdleTimeout
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(opts.ResponseTimeout, func() { cancel(errSilent) })
	defer idleTimer.Stop()
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
		statusErr := &StatusError{Code: resp.StatusCode, Text: string(bytes.TrimSpace(text))}
		statusErr.parseRetryAfter(resp.Header)
		return errors.Join(statusErr, err)
	}
	if opts.OnOpen != nil {
		ms, err := strconv.ParseInt(resp.Header.Get(HeartbeatHeader), 10, 64)
		if err != nil || ms < 0 || ms > ServiceIdleTimeout.Milliseconds() {
			ms = 0 // it says something when it likes
		}
		opts.OnOpen(time.Duration(ms) * time.Millisecond)
	}
	activity := func() {
		idleTimer.Reset(opts.IdleTimeout)
		if opts.OnActivity != nil {
			opts.OnActivity()
		}
	}
	reader := &messageReader{r: newBufferedReader(resp.Body), onEmptyLine: activity}
	return fmt.Errorf("watch: %w", reader.readAll(message, activity))
}

// feed is what a decoder of messages reads. It keeps empty lines between messages from it, which say that the server is
// there, and bounds what a message may hold.
type messageReader struct {
	r           *bufio.Reader
	onEmptyLine func()
	pending     []byte // of a line, and what is left of it to hand on
	inMessage   bool   // a message has begun
	size        int    // of it so far
}

func newBufferedReader(r io.Reader) *bufio.Reader { return bufio.NewReaderSize(r, 16<<10) }

// messages hands on each message, and tells whole that one has come, to the end, which is always an error.
func (m *messageReader) readAll(message func([]byte) error, complete func()) error {
	for d := json.NewDecoder(m); ; {
		var raw json.RawMessage
		if err := d.Decode(&raw); err != nil {
			return err
		}
		m.endMessage(d.Buffered())
		complete()
		if err := message(raw); err != nil {
			return err
		}
	}
}

func (m *messageReader) Read(p []byte) (int, error) {
	for len(m.pending) == 0 {
		chunk, err := m.r.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) && len(chunk) == 0 {
			return 0, err
		}
		if len(bytes.TrimSpace(chunk)) > 0 {
			m.inMessage = true
		} else if !m.inMessage {
			if err == nil {
				m.onEmptyLine()
			}
			continue
		}
		if m.size += len(chunk); m.size > maxMessage {
			return 0, fmt.Errorf("a message over %d bytes", maxMessage)
		}
		m.pending = chunk
	}
	n := copy(p, m.pending)
	m.pending = m.pending[n:]
	return n, nil
}

// ended notes that a message has ended, behind which the decoder has read so much.
func (m *messageReader) endMessage(buffered io.Reader) {
	rest, _ := io.ReadAll(buffered) // of a buffer: no error
	m.size = len(rest)
	m.inMessage = len(bytes.TrimSpace(rest)) > 0
}

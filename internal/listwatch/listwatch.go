// Package listwatch follows the list of endpoints: it reads the stream of a list server or of the platform's discovery,
// a chunked HTTP response that stays open and holds a sequence of JSON objects. Nodes use it to follow their endpoints,
// and list servers to follow their primary. For nodes it also checks the lists, changes to another server when one
// falls silent, and keeps the last list on disk.
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

	"harrierramp/internal/connreuse"
)

const (
	maxMessage = 4 << 20 // bytes of a message
	// IdleTimeout is how long a stream of the platform's discovery may go without a complete message or an empty
	// line; discovery sends an empty line every 2 s. A change that a silent stream missed must be known 6 s after the
	// stream fell silent. So the timeout tolerates two missing empty lines, and the rest of the 6 s is for opening a
	// new stream.
	IdleTimeout = 4500 * time.Millisecond
	// ServiceIdleTimeout is the same for the project's own list service, where a silent server is checked against
	// another one: see Failover.
	ServiceIdleTimeout = 10 * time.Second
	// dialTimeout bounds a dial, which the HTTP transport continues for other requests after the request that started
	// it has ended.
	dialTimeout = serviceResponseTimeout
)

// noReuse has a transport use each connection for one request. The transport of net/http does not check that a response
// on a connection that was used before belongs to the request.
const noReuse = -1

// NewClient returns an HTTP client for streaming requests. Its connections come from source, or from an address that
// the system chooses if source is nil.
func NewClient(source net.Addr) *http.Client {
	return newClient((&net.Dialer{LocalAddr: source, Timeout: dialTimeout}).DialContext)
}

func newClient(dial dialFunc) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: noReuse, DisableCompression: true, DialContext: dial}}
}

// NewPostClient returns an HTTP client for Post, which keeps its connections. They come from source, or from an address
// that the system chooses if source is nil.
func NewPostClient(source net.Addr) *http.Client {
	return &http.Client{Transport: &connreuse.Transport{DialContext: (&net.Dialer{LocalAddr: source, Timeout: dialTimeout}).DialContext}}
}

const maxPostResponse = 64 << 10 // bytes read of the body of the response to a Post

// ClockHeader is the response header with the list server's clock at the time of a post, in milliseconds since 1970.
const ClockHeader = "Registry-Clock-Ms"

// Post sends JSON to a list server and returns the response header. Any status but 204 is an error.
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
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxPostResponse)) // to the end, so the connection can be reused
	if err == nil && resp.StatusCode != http.StatusNoContent {
		err = fmt.Errorf("post: %s: %.100s", resp.Status, bytes.TrimSpace(reply))
	}
	return resp.Header, err
}

// Headers that tell a client when to retry: Retry-After holds whole seconds, as any HTTP client understands it, and
// retryAfterMSHeader the same time in milliseconds. The client repeats reservationHeader's value in its next request,
// as the parameter "turn", to claim the reserved place.
const (
	retryAfterMSHeader = "Retry-After-Ms"
	reservationHeader  = "Registry-Turn"
)

// SetRetryAfter sets the headers that ask the client to retry after wait, with a reservation if it is not 0.
func SetRetryAfter(h http.Header, wait time.Duration, reservation uint64) {
	ms := max((wait + time.Millisecond - 1).Milliseconds(), 1)
	h.Set("Retry-After", strconv.FormatInt((ms+999)/1000, 10))
	h.Set(retryAfterMSHeader, strconv.FormatInt(ms, 10))
	if reservation != 0 {
		h.Set(reservationHeader, strconv.FormatUint(reservation, 10))
	}
}

// StatusError is returned for a response with a status other than 200.
type StatusError struct {
	Code int
	Text string // start of the response body
	// HasRetryAfter is set if the response said when to retry. RetryAfter is the unchecked value, or -1 if it can't
	// be parsed. Reservation is to be presented with the next request; 0 means none.
	HasRetryAfter bool
	RetryAfter    time.Duration
	Reservation   uint64
}

// parseRetryAfter sets the fields that tell when to retry.
func (e *StatusError) parseRetryAfter(h http.Header) {
	text := h.Get(retryAfterMSHeader)
	if e.HasRetryAfter = text != ""; !e.HasRetryAfter {
		return
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if e.RetryAfter = time.Duration(ms) * time.Millisecond; err != nil || ms > int64(time.Duration(math.MaxInt64)/time.Millisecond) {
		e.RetryAfter = -1
	}
	e.Reservation, _ = strconv.ParseUint(h.Get(reservationHeader), 10, 64) // 0 if missing: no reservation
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("watch: %d %s: %s", e.Code, http.StatusText(e.Code), e.Text)
}

// HeartbeatHeader is the response header with the interval, in milliseconds, at which the server sends something. A
// server sets it if the request asked for heartbeats.
const HeartbeatHeader = "Registry-Beat-Ms"

// errSilent ends a stream on which no data arrived within its timeout.
var errSilent = errors.New("the server sent nothing within the timeout")

// FollowOptions configures Follow. The functions may be nil.
type FollowOptions struct {
	ResponseTimeout time.Duration // from the request, including the dial, to the first message or empty line
	IdleTimeout     time.Duration // between messages or empty lines; 0 means the IdleTimeout constant
	OnOpen          func(heartbeat time.Duration)
	OnActivity      func() // called for each message, and each empty line between messages
}

// Follow reads one stream until it ends, which is always an error, and passes each message to the message function. A
// message is a JSON value, on one line or indented over several. A silent stream is given up, because the server's
// machine may be gone; a stream that only sends part of a message, or empty lines within one, counts as silent too.
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
			ms = 0 // the server does not promise heartbeats
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

// messageReader is the input of a JSON decoder. It filters out empty lines between messages, which only show that the
// server is alive, and limits the size of a message.
type messageReader struct {
	r           *bufio.Reader
	onEmptyLine func()
	pending     []byte // rest of the chunk that was read but not yet returned
	inMessage   bool   // part of a message has been read
	size        int    // bytes of the current message so far
}

func newBufferedReader(r io.Reader) *bufio.Reader { return bufio.NewReaderSize(r, 16<<10) }

// readAll passes each message to the message function, after calling complete, until the stream ends. The error is
// never nil.
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
			return 0, fmt.Errorf("message is longer than %d bytes", maxMessage)
		}
		m.pending = chunk
	}
	n := copy(p, m.pending)
	m.pending = m.pending[n:]
	return n, nil
}

// endMessage records that a message has ended. buffered is what the decoder has read beyond it.
func (m *messageReader) endMessage(buffered io.Reader) {
	rest, _ := io.ReadAll(buffered) // reading from a buffer returns no error
	m.size = len(rest)
	m.inMessage = len(bytes.TrimSpace(rest)) > 0
}

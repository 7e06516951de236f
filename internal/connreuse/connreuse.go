// Package connreuse begins further requests on connections that have carried one before, and proves that no bytes of an
// earlier response can be taken for the response to the new request.
//
// Responses of HTTP/1.1 do not name their request. What a peer sends behind a response, such as a second copy of it, may
// be held back by the peer's system until the response is acknowledged, and so may arrive after the next request was
// sent. No pause bounds that. The order of events does: a peer can't respond to a request before the request's head is
// complete, and its system sends what it held back before, or together with, the acknowledgment of the first bytes of
// that head. So a request is begun with bytes that do not complete its head. Once they are acknowledged, everything that
// was sent before has arrived. If that is just what the earlier responses consisted of, the rest of the request may
// follow, and the next byte received belongs to its response.
//
// What the peer's program writes after its system has acknowledged the beginning of the next request can't be told apart
// by this. A segment that is lost on the way behind a response can't either.
package connreuse

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"harrierramp/internal/tcpinfo"
	"harrierramp/internal/transient"
)

const (
	// maxConfirmWait is how long the peer's system may take to acknowledge the beginning of a request. Systems delay
	// acknowledgments by 40 to 200 ms.
	maxConfirmWait = 200 * time.Millisecond
	firstPollDelay = 50 * time.Microsecond
	maxPollDelay   = time.Millisecond
)

// Errors of Begin. After any of them but errors.ErrUnsupported the connection must be closed; its peer has got an
// incomplete request at most, which it does not execute.
var (
	ErrUnsolicited  = errors.New("the peer has sent more than the responses, or has closed the connection")
	ErrNotConfirmed = errors.New("the peer's system did not acknowledge the beginning of the request in time")
)

// Begin writes prefix, the beginning of a request without the end of its head, and waits until it is proven that no
// bytes of earlier responses are outstanding. received is how many bytes have been read from nc so far, all of which
// belong to earlier responses. No read or write of nc may be in progress.
//
// If the error is errors.ErrUnsupported, the system can't describe the connection, and nothing has been written.
func Begin(ctx context.Context, nc net.Conn, received uint64, prefix []byte) error {
	if _, err := acknowledged(nc, received); err != nil {
		return err
	}
	if err := writeInTwoSegments(nc, prefix); err != nil {
		return err
	}
	return awaitAcknowledged(ctx, nc, received)
}

// writeInTwoSegments writes the first line of prefix and the rest of it separately. Systems may delay the acknowledgment
// of a single small segment, but send one for the second segment once their program has read it.
func writeInTwoSegments(nc net.Conn, prefix []byte) error {
	lineEnd := bytes.IndexByte(prefix, '\n') + 1
	for _, segment := range [][]byte{prefix[:lineEnd], prefix[lineEnd:]} {
		if _, err := transient.Write(nc, segment); err != nil {
			return fmt.Errorf("begin request: %w", err)
		}
	}
	return nil
}

// awaitAcknowledged waits until all that was written is acknowledged. Its errors are those of acknowledged, and
// ErrNotConfirmed.
func awaitAcknowledged(ctx context.Context, nc net.Conn, received uint64) error {
	ctx, cancel := context.WithTimeoutCause(ctx, maxConfirmWait, ErrNotConfirmed)
	defer cancel()
	for delay := firstPollDelay; ; delay = min(2*delay, maxPollDelay) {
		done, err := acknowledged(nc, received)
		if errors.Is(err, errors.ErrUnsupported) {
			return ErrNotConfirmed // the beginning of a request has been written
		}
		if done || err != nil {
			return err
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// acknowledged reports whether the peer's system has acknowledged all that was written to a connection. It fails if the
// connection has received more than received bytes, or has ended. Both are read at one moment.
func acknowledged(nc net.Conn, received uint64) (bool, error) {
	info, err := tcpinfo.Get(nc)
	switch {
	case err != nil && transient.IsLocal(err):
		return false, nil // look again
	case err != nil:
		return false, err
	case info.Bytes_received < received: // an incomplete description
		return false, errors.ErrUnsupported
	case info.Bytes_received > received || !tcpinfo.Established(info):
		return false, ErrUnsolicited
	}
	return info.Unacked == 0 && info.Notsent_bytes == 0, nil
}

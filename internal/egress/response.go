package egress

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"harrierramp/choice"
)

const (
	maxResponseHeaderBytes    = 16 << 10 // also of trailers and the framing of a chunked body
	maxResponseBodyBytes      = 64 << 10
	loadHeader                = "Endpoint-Load-Metrics"
	maxInformationalResponses = 8 // 1xx responses before the final one
	maxRetryAfter             = 10 * time.Minute
	// Endpoints write a response in one piece of at most 64 KiB, so after its first byte a usable link delivers the
	// rest within responseRestTimeout. What follows a status line with 200 carries no information beyond whether the
	// connection can be reused, so the slot is held no longer than a slow round trip to receive it.
	responseRestTimeout  = time.Second
	deliveredRestTimeout = 250 * time.Millisecond
)

// readResponse reads one response and reports whether the connection can be used for another call. A response that
// cannot be read to its end proves nothing, except that a status line with 200 counts as delivered. Once a response has
// started, it must end within responseRestTimeout or deliveredRestTimeout.
func (k *conn) readResponse() (Result, bool, error) {
	for range maxInformationalResponses {
		k.limitReader.N = maxResponseHeaderBytes
		delivered := false
		if k.awaitFirstByte() {
			if delivered = k.peekStatusOK(); delivered {
				k.setReadTimeout(deliveredRestTimeout)
			}
		}
		resp, err := http.ReadResponse(k.br, nil)
		k.limitReader.N = maxResponseBodyBytes + maxResponseHeaderBytes
		if err == nil && resp.StatusCode < 200 {
			if err = k.SetReadDeadline(time.Time{}); err == nil {
				continue // the final response has no time limit until it starts
			}
		}
		if err == nil {
			var n int64
			n, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBodyBytes+1))
			resp.Body.Close()
			if err == nil && n > maxResponseBodyBytes {
				err = errors.New("response body exceeds 64 KiB")
			}
		}
		switch {
		case err == nil: // bytes after the response belong to no call: do not reuse the connection
			return classifyResponse(resp), !resp.Close && k.br.Buffered() == 0, nil
		case delivered:
			return Result{Outcome: choice.Success, MessageDone: true}, false, nil
		}
		return Result{}, false, fmt.Errorf("read response: %w", err)
	}
	return Result{}, false, errors.New("read response: too many informational responses")
}

// awaitFirstByte waits for the first byte of a response, and limits the time for the rest. It returns false on a read
// error.
func (k *conn) awaitFirstByte() bool {
	_, err := k.br.Peek(1)
	if err == nil {
		k.setReadTimeout(responseRestTimeout)
	}
	return err == nil
}

// setReadTimeout makes reads fail after d. Its error is ignored: it means that the connection is closed, so that reads
// fail anyway.
func (k *conn) setReadTimeout(d time.Duration) { k.SetReadDeadline(time.Now().Add(d)) }

// peekStatusOK reports whether the response starts with a status line with 200, without consuming it. It waits for no
// more bytes than it needs, since nothing may follow that line.
func (k *conn) peekStatusOK() bool {
	const want = "HTTP/1.? 200"
	for n := 1; n <= len(want); n++ {
		line, err := k.br.Peek(n)
		if err != nil || (line[n-1] != want[n-1] && want[n-1] != '?') {
			return false
		}
	}
	line, err := k.br.Peek(len(want) + 1)
	return err != nil || bytes.IndexByte([]byte(" \r\n"), line[len(want)]) >= 0
}

// classifyResponse maps the status codes of the delivery protocol to outcomes.
func classifyResponse(resp *http.Response) Result {
	res := Result{Report: parseLoadReport(resp.Header.Get(loadHeader))}
	switch resp.StatusCode {
	case http.StatusOK:
		res.Outcome, res.MessageDone = choice.Success, true
	case http.StatusTooManyRequests:
		res.Outcome = choice.Rejected
		if sec, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && sec > 0 {
			res.RetryAfter = time.Duration(min(sec, maxRetryAfter.Seconds()) * float64(time.Second))
		}
	case http.StatusServiceUnavailable:
		res.Outcome = choice.Rejected
		if resp.Header.Get("X-Line-Busy") == "1" {
			res.Outcome, res.NoSlot = choice.NotSent, true
		}
	case http.StatusGatewayTimeout:
		res.Outcome = choice.NotSent
	case http.StatusGone:
		res.Outcome, res.MessageDone = choice.NotSent, true
	default: // 500 and unknown codes: the call may have been executed
		res.Outcome = choice.ServerError
	}
	return res
}

// parseLoadReport parses a load report such as "x0=0.4,x1=25" and ignores malformed fields.
func parseLoadReport(text string) choice.LimitReport {
	var r choice.LimitReport
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || v != v {
			continue
		}
		switch name {
		case "x0":
			r.Left, r.HasLeft = v, true
		case "x1":
			r.Limit, r.HasLimit = v, true
		}
	}
	return r
}

package ingress

import (
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"harrierramp/internal/wire"
)

// Request is a message as submitted by a client.
type Request struct {
	ID, Key     string
	Class, Dest int
	Tenant      int // -1 if the settings do not name the tenant
	TTL         time.Duration
	Body        []byte
	ReceivedAt  time.Time
	// ClientGone reports whether the client has ended the connection, or its side of it, since it sent the request. It
	// may be nil.
	ClientGone func() bool
}

// Answer is the reply to a request: accepted (the zero value), refused, or failed with an error text.
type Answer struct {
	Refused    bool
	RetryAfter time.Duration
	ErrorText  string
	HandedOver bool // the connection is to be handed over; another process of this node answers
}

func (a Answer) line() string {
	switch {
	case a.HandedOver:
		return handoverSentinel
	case a.ErrorText != "":
		return "-ERR " + a.ErrorText + "\r\n"
	case a.Refused && a.RetryAfter >= time.Millisecond:
		return "-BUSY " + strconv.FormatInt(a.RetryAfter.Milliseconds(), 10) + "\r\n"
	case a.Refused:
		return "-BUSY\r\n"
	}
	return "+OK\r\n"
}

// parseEnqueue parses the arguments of an ENQUEUE command.
func parseEnqueue(args [][]byte, names wire.Names, receivedAt time.Time) (Request, error) {
	q := Request{ReceivedAt: receivedAt, Class: -1, Tenant: -1, Dest: -1, TTL: -1}
	if len(args) != 5 {
		return q, errors.New("wrong number of arguments for 'enqueue' command")
	}
	q.ID, q.Body = string(args[2]), args[4]
	if !isHeaderSafe(q.ID) {
		return q, errors.New("the id can't be used")
	}
	if len(args[3]) > maxArgBytes {
		return q, errors.New("the fields are too long")
	}
	for field := range strings.SplitSeq(string(args[3]), ",") {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "c":
			if q.Class = slices.Index(names.Classes, value); q.Class < 0 {
				return q, errors.New("unknown class")
			}
		case "t":
			q.Tenant = slices.Index(names.Tenants, value)
		case "d":
			ms, err := strconv.ParseFloat(value, 64)
			if err != nil || !(ms >= 0 && ms <= float64(maxTTL.Milliseconds())) {
				return q, errors.New("d is no time in milliseconds")
			}
			q.TTL = time.Duration(ms * float64(time.Millisecond))
		case "dest":
			n, err := strconv.Atoi(value)
			if err != nil || n < 0 {
				return q, errors.New("dest is no number")
			}
			q.Dest = n
		case "k":
			if q.Key = value; !isHeaderSafe(value) {
				return q, errors.New("the key can't be used")
			}
		}
	}
	if q.Class < 0 || q.TTL < 0 || q.Dest < 0 {
		return q, errors.New("c, d and dest are needed")
	}
	return q, nil
}

// isHeaderSafe reports whether s can be used unescaped as an HTTP header value: 1 to 256 printable ASCII characters
// without spaces.
func isHeaderSafe(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return len(s) > 0 && len(s) <= 256
}

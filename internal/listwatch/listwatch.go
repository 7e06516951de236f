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
	"net"
	"net/http"
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

// StatusError is an answer that is no watch.
type StatusError struct {
	Code int
	Text string // the beginning of what the server says about it
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("watch: %d %s: %s", e.Code, http.StatusText(e.Code), e.Text)
}

// Lines follows one watch to its end, which is always an error, and hands on each line that is not empty. heard is
// called for empty lines as well; it may be nil. A watch that has gone silent is given up: its machine may be gone.
func Lines(ctx context.Context, client *http.Client, url string, heard func(), line func([]byte) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(Silence, cancel)
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
		return errors.Join(&StatusError{resp.StatusCode, string(bytes.TrimSpace(text))}, err)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 16<<10), maxLine)
	for lines.Scan() {
		silence.Reset(Silence)
		if heard != nil {
			heard()
		}
		if text := bytes.TrimSpace(lines.Bytes()); len(text) > 0 {
			if err := line(text); err != nil {
				return fmt.Errorf("watch: %w", err)
			}
		}
	}
	return errors.Join(lines.Err(), io.EOF)
}

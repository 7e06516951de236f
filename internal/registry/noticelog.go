package registry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	reportsFile           = "reports"
	defaultMaxReportBytes = 16 << 20
	maxReportIDLen        = 512
	maxReportPageBytes    = 1 << 20
)

// notice reports the final state of a message that a node accepted and did not deliver.
type notice struct {
	Seq     int64  `json:"seq,omitempty"`
	AtMS    int64  `json:"at_ms,omitempty"`
	ID      string `json:"id"`
	State   string `json:"state"`
	AfterMS int64  `json:"after_ms,omitempty"`
}

// parseNotices parses and validates a request body with one notice per line.
func parseNotices(body []byte) ([]notice, error) {
	var out []notice
	for line := range bytes.Lines(body) {
		if line = bytes.TrimSpace(line); len(line) == 0 {
			continue
		}
		n := notice{}
		if err := json.Unmarshal(line, &n); err != nil {
			return nil, fmt.Errorf("notice %d: %w", len(out)+1, err)
		}
		switch {
		case n.ID == "" || len(n.ID) > maxReportIDLen:
			return nil, fmt.Errorf("notice %d: id has %d bytes: from 1 to %d", len(out)+1, len(n.ID), maxReportIDLen)
		case n.State != "failed" && n.State != "returned":
			return nil, fmt.Errorf("notice %d: state %q is not known: failed or returned", len(out)+1, n.State)
		case n.AfterMS < 0:
			return nil, fmt.Errorf("notice %d: after_ms is %d", len(out)+1, n.AfterMS)
		}
		out = append(out, n)
	}
	return out, nil
}

// noticeLog stores notices until the platform fetches them to inform clients. It uses two files; when the newer one is
// full, the older one is dropped. Stored notices survive the end of the process but are not synced, because nodes give
// no stronger guarantee for them either.
type noticeLog struct {
	mu        sync.Mutex
	path      string
	maxBytes  int64
	file      *os.File
	size      int64
	baseSeq   int64 // last sequence number before the newer file
	nextSeq   int64
	dirtyTail bool // a failed add may have left bytes beyond size
}

func openNoticeLog(dir string, maxBytes int64) (*noticeLog, error) {
	if maxBytes <= 0 {
		maxBytes = defaultMaxReportBytes
	}
	l := &noticeLog{path: filepath.Join(dir, reportsFile), maxBytes: maxBytes, nextSeq: 1}
	for _, path := range []string{l.path + ".old", l.path} {
		if err := l.scan(path); err != nil && !errors.Is(err, os.ErrNotExist) {
			return nil, fmt.Errorf("reports: %w", err)
		}
	}
	f, err := os.OpenFile(l.path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("reports: %w", err)
	}
	if l.file = f; f.Truncate(l.size) != nil { // removes a line that an interrupted write left incomplete
		return nil, errors.Join(fmt.Errorf("reports: can't truncate the incomplete last line"), f.Close())
	}
	return l, nil
}

// scan finds the last sequence number in a file and the end of its last complete line.
func (l *noticeLog) scan(path string) error {
	l.size, l.baseSeq = 0, l.nextSeq-1
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	lines := bufio.NewReader(f)
	for {
		line, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		var n notice
		if err := json.Unmarshal(line, &n); err != nil {
			return fmt.Errorf("%s at byte %d: %w", path, l.size, err)
		}
		l.nextSeq = max(l.nextSeq, n.Seq+1)
		l.size += int64(len(line))
	}
}

// add stores notices and numbers them; after an error none of them is stored.
func (l *noticeLog) add(at time.Time, notices []notice) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var b bytes.Buffer
	lines := json.NewEncoder(&b)
	for i, n := range notices {
		n.Seq, n.AtMS = l.nextSeq+int64(i), at.UnixMilli()
		if err := lines.Encode(n); err != nil {
			return fmt.Errorf("reports: %w", err)
		}
	}
	if l.size > 0 && l.size+int64(b.Len()) > l.maxBytes/2 {
		if err := l.rotate(); err != nil {
			return fmt.Errorf("reports: %w", err)
		}
	}
	if err := l.truncateTail(); err != nil {
		return err
	}
	if _, err := l.file.WriteAt(b.Bytes(), l.size); err != nil {
		l.dirtyTail = true
		return fmt.Errorf("reports: %w", errors.Join(err, l.truncateTail()))
	}
	l.size += int64(b.Len())
	l.nextSeq += int64(len(notices))
	return nil
}

// truncateTail removes what a failed add may have written. If shorter lines were written over it, a remainder would be
// left behind, and the file could not be read at the next start.
func (l *noticeLog) truncateTail() error {
	if !l.dirtyTail {
		return nil
	}
	if err := l.file.Truncate(l.size); err != nil {
		return fmt.Errorf("reports: the torn end can't be cut: %w", err)
	}
	l.dirtyTail = false
	return nil
}

// rotate begins a new file and keeps the previous one as the older file.
func (l *noticeLog) rotate() error {
	if err := os.Rename(l.path, l.path+".old"); err != nil {
		return err
	}
	f, err := os.OpenFile(l.path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return errors.Join(err, os.Rename(l.path+".old", l.path))
	}
	old := l.file
	l.file, l.size, l.baseSeq = f, 0, l.nextSeq-1
	return old.Close()
}

// pageAfter returns a page of the notices with sequence numbers after the given one, at most maxReportPageBytes long.
func (l *noticeLog) pageAfter(after int64) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var page bytes.Buffer
	for _, path := range []string{l.path + ".old", l.path} {
		if path != l.path && after >= l.baseSeq {
			continue
		}
		raw, err := os.ReadFile(path)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("reports: %w", err)
		}
		for line := range bytes.Lines(raw) {
			var n notice
			if json.Unmarshal(line, &n) != nil || n.Seq <= after {
				continue
			}
			if page.Len()+len(line) > maxReportPageBytes {
				return page.Bytes(), nil
			}
			page.Write(line)
		}
	}
	return page.Bytes(), nil
}

func (l *noticeLog) close() error { return l.file.Close() }

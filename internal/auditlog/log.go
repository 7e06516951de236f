// Package auditlog records which calls a node has made by which list revision, in a bounded log on disk that a killed
// process leaves readable, and audits the logs of many nodes against the history of the list service. The log is
// written by the owner of a node's state; the audit does no I/O.
package auditlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"time"
)

// Format is the latest format of the log that this build reads, and the one that it writes.
const Format = 1

// Limits.
const (
	// MaxAge is the oldest age of the log's previous file. An older one is removed at the next rotation or start.
	MaxAge        = 24 * time.Hour
	maxEntryBytes = 1 << 20
	maxReasonLen  = 128
	checksumLen   = 8 // hexadecimal digits before each entry
)

// The log's files in the node's state directory: the one that is written, and the one before it.
const (
	CurrentName  = "acts"
	PreviousName = "acts.before"
)

// Outcome is how a call ended, as far as the endpoint is concerned.
type Outcome int

// OutcomeAnswered means that the endpoint has certainly received the call, OutcomeUnsent that it certainly has not,
// and OutcomeUnknown that no response arrived.
const (
	OutcomeUnknown Outcome = iota
	OutcomeAnswered
	OutcomeUnsent
)

// Header identifies the node and the format. Each file begins with one, and so does each process's part of the log.
type Header struct {
	Format      int    `json:"format"`
	Node        string `json:"node"`
	Incarnation uint32 `json:"life"` // of the node's process
	Build       string `json:"build,omitempty"`
}

// CallStart is a call that is about to be made. It is numbered within its process.
type CallStart struct {
	Seq      int64  `json:"n"`
	Endpoint string `json:"e"`
}

// CallEnd is the end of a call, with when the writing of its request began and how long it took; both are 0 if the
// request was not sent.
type CallEnd struct {
	Seq          int64   `json:"n"`
	Outcome      Outcome `json:"h"`
	WriteStartMS int64   `json:"f,omitempty"`
	WriteTookMS  int64   `json:"t,omitempty"`
}

// ClockSync is a reading of a list server's clock. EndedMS is when the exchange ended by the node's clock, and TookMS
// how long it took. EndedMS may be earlier than the entry's time, if the process was not running in between.
type ClockSync struct {
	ServerMS int64 `json:"s"`
	EndedMS  int64 `json:"e"`
	TookMS   int64 `json:"t"`
}

// Entry is one line of the log. AtMS is the node's clock: the wall clock at the start of its process, advanced by the
// monotonic clock since.
type Entry struct {
	Header      *Header     `json:"head,omitempty"`
	AtMS        int64       `json:"at"`
	Revision    int64       `json:"list,omitempty"` // list revision that Starts are based on
	Starts      []CallStart `json:"b,omitempty"`
	Ends        []CallEnd   `json:"d,omitempty"`
	ClockSync   *ClockSync  `json:"sync,omitempty"`
	StaleReason string      `json:"why,omitempty"`  // why the list may be out of date from here on
	LostEntries int         `json:"lost,omitempty"` // entries before this one that could not be written
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendEncoded appends the encoded entry: a checksum, its JSON and a line feed.
func (e Entry) appendEncoded(b []byte) ([]byte, error) {
	raw, err := json.Marshal(e)
	if err != nil {
		return b, fmt.Errorf("audit log: %w", err)
	}
	return fmt.Appendf(b, "%08x%s\n", crc32.Checksum(raw, castagnoli), raw), nil
}

// Log is the audit log of one process, in the node's state directory. It is not safe for concurrent use.
//
// Invariants: when Write returns nil, the entry has been passed to the operating system; the two files together never
// hold more than the limit and one entry; each begins with a header. A failed write never stops the node: the next
// entry that can be written says how many are missing.
type Log struct {
	dir          string
	maxFileBytes int64
	header       Header
	now          func() time.Time
	file         *os.File
	size         int64
	lostEntries  int
	buffer       []byte
}

// Open continues the log in a directory, or creates one. Its files together hold at most maxBytes and one entry.
func Open(dir string, maxBytes int64, header Header, now func() time.Time) (*Log, error) {
	header.Format = Format
	l := &Log{dir: dir, maxFileBytes: max(maxBytes/2, 4<<10), header: header, now: now}
	f, err := os.OpenFile(filepath.Join(dir, CurrentName), os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("audit log: %w", err)
	}
	info, err := f.Stat()
	if err != nil {
		return nil, errors.Join(fmt.Errorf("audit log: %w", err), f.Close())
	}
	l.file, l.size = f, info.Size()
	if previous, err := os.Stat(filepath.Join(dir, PreviousName)); err == nil && now().Sub(previous.ModTime()) > MaxAge {
		if err := os.Remove(filepath.Join(dir, PreviousName)); err != nil {
			return nil, errors.Join(fmt.Errorf("audit log: %w", err), f.Close())
		}
	}
	if l.size > 0 { // ends an entry that a killed process left incomplete
		if _, err := f.Write([]byte("\n")); err != nil {
			return nil, errors.Join(fmt.Errorf("audit log: %w", err), f.Close())
		}
		l.size++
	}
	return l, l.Write(Entry{Header: &l.header})
}

// Write appends an entry with the current time.
func (l *Log) Write(e Entry) error {
	e.AtMS, e.LostEntries = l.now().UnixMilli(), l.lostEntries
	if len(e.StaleReason) > maxReasonLen {
		e.StaleReason = e.StaleReason[:maxReasonLen]
	}
	err := l.rotate()
	if err == nil {
		err = l.writeEntry(e)
	}
	if err != nil {
		l.lostEntries++
		return err
	}
	l.lostEntries = 0
	return nil
}

func (l *Log) writeEntry(e Entry) (err error) {
	if l.buffer, err = e.appendEncoded(l.buffer[:0]); err != nil {
		return err
	}
	n, err := l.file.Write(l.buffer)
	l.size += int64(n)
	if err == nil {
		return nil
	}
	if n > 0 { // remove the incomplete entry
		if truncateErr := l.file.Truncate(l.size - int64(n)); truncateErr != nil {
			return fmt.Errorf("audit log: %w", errors.Join(err, truncateErr))
		}
		l.size -= int64(n)
	}
	return fmt.Errorf("audit log: %w", err)
}

// rotate starts a new file if the current one has reached its limit. The previous file is replaced.
func (l *Log) rotate() error {
	if l.size < l.maxFileBytes {
		return nil
	}
	path := filepath.Join(l.dir, CurrentName)
	err := os.Rename(path, filepath.Join(l.dir, PreviousName))
	if err != nil && !errors.Is(err, os.ErrNotExist) { // missing if an earlier rotation failed half-way
		return fmt.Errorf("audit log: %w", err)
	}
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("audit log: %w", err)
	}
	err = l.file.Close()
	l.file, l.size = f, 0
	return errors.Join(err, l.writeEntry(Entry{Header: &l.header, AtMS: l.now().UnixMilli()}))
}

// Close closes the file. The log stays on disk.
func (l *Log) Close() error {
	if err := l.file.Close(); err != nil {
		return fmt.Errorf("audit log: %w", err)
	}
	return nil
}

// Errors of Parse.
var (
	ErrNewer    = errors.New("the audit log was written by a later build")
	ErrNoHeader = errors.New("not an audit log")
)

// ReadDir returns the content of both files in a directory, the older one first.
func ReadDir(dir string) ([]byte, error) {
	var all []byte
	for _, name := range []string{PreviousName, CurrentName} {
		raw, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return nil, fmt.Errorf("audit log: %w", err)
		}
		all = append(append(all, raw...), '\n')
	}
	return all, nil
}

// Parse decodes a log. Entries that are truncated, corrupt or not valid JSON are counted as damaged and skipped. A
// log of a later format, or without any header, is an error.
func Parse(raw []byte) (entries []Entry, damaged int, err error) {
	headers := 0
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		if len(line) == 0 {
			continue
		}
		e, ok := parseEntry(line)
		if !ok {
			damaged++
			continue
		}
		if e.Header != nil {
			if headers++; e.Header.Format > Format {
				return nil, damaged, fmt.Errorf("%w: format %d, this build reads up to %d", ErrNewer, e.Header.Format, Format)
			}
		}
		entries = append(entries, e)
	}
	if headers == 0 {
		return nil, damaged, fmt.Errorf("%w: %d unreadable lines", ErrNoHeader, damaged)
	}
	return entries, damaged, nil
}

func parseEntry(line []byte) (e Entry, ok bool) {
	if len(line) <= checksumLen || len(line) > maxEntryBytes {
		return e, false
	}
	if fmt.Sprintf("%08x", crc32.Checksum(line[checksumLen:], castagnoli)) != string(line[:checksumLen]) {
		return e, false
	}
	return e, json.Unmarshal(line[checksumLen:], &e) == nil
}

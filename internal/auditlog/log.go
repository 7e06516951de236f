// Package acts is what a node has done by which version of the list: a bounded record on disk that a kill leaves
// readable, and the audit of many such records against what the list service said. The record is written by the owner of
// a node's state; the audit does no input or output.
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

// Format is the newest form of a record that this build reads and the one that it writes.
const Format = 1

// Bounds.
const (
	// MostAge is how old the older part of a record may be; then it goes at the next turn or start.
	MaxAge        = 24 * time.Hour
	maxEntryBytes = 1 << 20
	maxReasonLen  = 128
	checksumLen   = 8 // hexadecimal, before each line
)

// The record's files in the node's folder: the one that is written, and the part before it.
const (
	CurrentName  = "acts"
	PreviousName = "acts.before"
)

// How a call ended, as far as the endpoint's side is known.
type Outcome int

// Answered means that the endpoint has surely had the call, Unsent that it surely has not; Unsure that nothing was heard.
const (
	OutcomeUnknown Outcome = iota
	OutcomeAnswered
	OutcomeUnsent
)

// Head names whose record it is and in which form; each file begins with one, and so does each process's part.
type Header struct {
	Format      int    `json:"format"`
	Node        string `json:"node"`
	Incarnation uint32 `json:"life"` // of the process
	Build       string `json:"build,omitempty"`
}

// Begun is a call that is about to be made, numbered within its life.
type CallStart struct {
	Seq      int64  `json:"n"`
	Endpoint string `json:"e"`
}

// Ended is the end of a call. Its request was written from a moment on, and for so long; both are 0 for one that was not.
type CallEnd struct {
	Seq          int64   `json:"n"`
	Outcome      Outcome `json:"h"`
	WriteStartMS int64   `json:"f,omitempty"`
	WriteTookMS  int64   `json:"t,omitempty"`
}

// Sync is a list server's clock, read by an exchange that ended at a moment of the node's and took so long. The moment is
// not the line's: the process may not have run in between.
type ClockSync struct {
	ServerMS int64 `json:"s"`
	EndedMS  int64 `json:"e"`
	TookMS   int64 `json:"t"`
}

// Line is what is written at once. AtMS is the node's clock: the wall clock at its process's start, and monotonic since.
type Entry struct {
	Header      *Header     `json:"head,omitempty"`
	AtMS        int64       `json:"at"`
	Revision    int64       `json:"list,omitempty"` // the revision that Begun rests on
	Starts      []CallStart `json:"b,omitempty"`
	Ends        []CallEnd   `json:"d,omitempty"`
	ClockSync   *ClockSync  `json:"sync,omitempty"`
	StaleReason string      `json:"why,omitempty"`  // the list may be late from here on
	LostEntries int         `json:"lost,omitempty"` // lines before this one that could not be written
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendTo adds the line in its written form.
func (e Entry) appendEncoded(b []byte) ([]byte, error) {
	raw, err := json.Marshal(e)
	if err != nil {
		return b, fmt.Errorf("acts: %w", err)
	}
	return fmt.Appendf(b, "%08x%s\n", crc32.Checksum(raw, castagnoli), raw), nil
}

// Record is the record of one process, in the node's folder. It is not safe for concurrent use.
//
// Invariants: a line is in the file, as far as the system goes, before Write returns nil; the two files together never
// hold more than the bound and one line; each begins with a head. A write that fails never stops the node: the
// next line that can be written says how many are missing.
type Log struct {
	dir          string
	maxFileBytes int64 // bytes of one file
	header       Header
	now          func() time.Time
	file         *os.File
	size         int64
	lostEntries  int
	buffer       []byte
}

// Open goes on with the record in a folder, or begins one, of so many bytes at most.
func Open(dir string, maxBytes int64, header Header, now func() time.Time) (*Log, error) {
	header.Format = Format
	l := &Log{dir: dir, maxFileBytes: max(maxBytes/2, 4<<10), header: header, now: now}
	f, err := os.OpenFile(filepath.Join(dir, CurrentName), os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("acts: %w", err)
	}
	info, err := f.Stat()
	if err != nil {
		return nil, errors.Join(fmt.Errorf("acts: %w", err), f.Close())
	}
	l.file, l.size = f, info.Size()
	if previous, err := os.Stat(filepath.Join(dir, PreviousName)); err == nil && now().Sub(previous.ModTime()) > MaxAge {
		if err := os.Remove(filepath.Join(dir, PreviousName)); err != nil {
			return nil, errors.Join(fmt.Errorf("acts: %w", err), f.Close())
		}
	}
	if l.size > 0 { // what a kill has torn ends here
		if _, err := f.Write([]byte("\n")); err != nil {
			return nil, errors.Join(fmt.Errorf("acts: %w", err), f.Close())
		}
		l.size++
	}
	return l, l.Write(Entry{Header: &l.header})
}

// Write writes a line down; its moment is now.
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
	if n > 0 { // what stands there is no line
		if truncateErr := l.file.Truncate(l.size - int64(n)); truncateErr != nil {
			return fmt.Errorf("acts: %w", errors.Join(err, truncateErr))
		}
		l.size -= int64(n)
	}
	return fmt.Errorf("acts: %w", err)
}

// turn begins a new file where the one that is written has grown to its bound. What was before that goes.
func (l *Log) rotate() error {
	if l.size < l.maxFileBytes {
		return nil
	}
	path := filepath.Join(l.dir, CurrentName)
	err := os.Rename(path, filepath.Join(l.dir, PreviousName))
	if err != nil && !errors.Is(err, os.ErrNotExist) { // gone already: the new one could not be made
		return fmt.Errorf("acts: %w", err)
	}
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("acts: %w", err)
	}
	err = l.file.Close()
	l.file, l.size = f, 0
	return errors.Join(err, l.writeEntry(Entry{Header: &l.header, AtMS: l.now().UnixMilli()}))
}

// Close closes the file. What is in it stays.
func (l *Log) Close() error {
	if err := l.file.Close(); err != nil {
		return fmt.Errorf("acts: %w", err)
	}
	return nil
}

// Errors of reading.
var (
	ErrNewer    = errors.New("the record was written by a later build")
	ErrNoHeader = errors.New("no record of acts")
)

// ReadDir reads both files of a folder's record, the older part first, as they stand.
func ReadDir(dir string) ([]byte, error) {
	var all []byte
	for _, name := range []string{PreviousName, CurrentName} {
		raw, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return nil, fmt.Errorf("acts: %w", err)
		}
		all = append(append(all, raw...), '\n')
	}
	return all, nil
}

// Parse reads lines. Those that are cut, flipped or of no sense are counted, and the rest is used; a record of a later
// form is refused as a whole, and so is one without any head.
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
				return nil, damaged, fmt.Errorf("%w: form %d, and this one reads %d", ErrNewer, e.Header.Format, Format)
			}
		}
		entries = append(entries, e)
	}
	if headers == 0 {
		return nil, damaged, fmt.Errorf("%w: %d lines that can't be read", ErrNoHeader, damaged)
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

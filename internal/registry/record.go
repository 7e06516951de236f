package registry

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// The log is one file: its magic, then records. A record is its payload's length and CRC-32C, four bytes each, and
// the payload, a list in JSON. The first record is a whole list, the others are changes.

const (
	logMagic         = "hr-list1"
	recordHeaderSize = 8
	maxRecordBytes   = 64 << 20
)

var (
	castagnoli    = crc32.MakeTable(crc32.Castagnoli)
	payloadPrefix = []byte(`{"revision":`) // what every payload begins with
)

// CorruptError tells of a log that can't be read though whole records follow: not the tail that a kill tears.
type CorruptError struct {
	Path   string
	Offset int64
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at byte %d: %s", e.Path, e.Offset, e.Reason)
}

// appendRecord frames a list.
func appendRecord(dst []byte, l List) ([]byte, error) {
	payload, err := l.encodeLine(true)
	if err != nil {
		return dst, err
	}
	if len(payload) > maxRecordBytes {
		return dst, fmt.Errorf("a record of %d bytes, %d at most", len(payload), maxRecordBytes)
	}
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(payload)))
	dst = binary.LittleEndian.AppendUint32(dst, crc32.Checksum(payload, castagnoli))
	return append(dst, payload...), nil
}

// cutRecord takes the record off the front of raw; why says what is wrong with it.
func parseRecord(raw []byte) (payload, rest []byte, problem string) {
	if len(raw) < recordHeaderSize {
		return nil, raw, "a record's head is cut"
	}
	n := binary.LittleEndian.Uint32(raw)
	if n > maxRecordBytes || int(n) < len(payloadPrefix) {
		return nil, raw, fmt.Sprintf("a record of impossible length %d", n)
	}
	if int(n) > len(raw)-recordHeaderSize {
		return nil, raw, "a record is cut"
	}
	payload, rest = raw[recordHeaderSize:recordHeaderSize+n], raw[recordHeaderSize+n:]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(raw[4:]) {
		return nil, raw, "a record has a wrong checksum"
	}
	return payload, rest, ""
}

// readLog reads the records of a log. It stops at a torn tail and returns how many bytes are good; a record that
// can't be read in front of a whole one is an error.
func readLog(path string, raw []byte) (lists []List, validBytes int64, err error) {
	rest, found := bytes.CutPrefix(raw, []byte(logMagic))
	if !found {
		return nil, 0, &CorruptError{path, 0, "it does not begin as a log of this version"}
	}
	for len(rest) > 0 {
		offset := int64(len(raw) - len(rest))
		payload, next, problem := parseRecord(rest)
		if problem == "" {
			l, err := decodeList(payload)
			if err != nil {
				return nil, offset, &CorruptError{path, offset, err.Error()}
			}
			if err := checkOrder(lists, l); err != nil {
				return nil, offset, &CorruptError{path, offset, err.Error()}
			}
			lists, rest = append(lists, l), next
			continue
		}
		// Only the last write can be torn, so nothing whole may come after it. The first record was in place before
		// the file had its name.
		if containsRecord(rest[1:]) || len(lists) == 0 {
			return nil, offset, &CorruptError{path, offset, problem}
		}
		return lists, offset, nil
	}
	if len(lists) == 0 {
		return nil, int64(len(raw)), &CorruptError{path, int64(len(raw)), "it holds no list"}
	}
	return lists, int64(len(raw)), nil
}

// follows tells what is wrong with a record after the others.
func checkOrder(before []List, l List) error {
	switch {
	case len(before) == 0 && !l.Complete:
		return fmt.Errorf("the first record is no whole list")
	case len(before) > 0 && l.Revision <= before[len(before)-1].Revision:
		return fmt.Errorf("revision %d after %d", l.Revision, before[len(before)-1].Revision)
	}
	return nil
}

// wholeRecordIn tells whether a whole record stands anywhere in raw.
func containsRecord(raw []byte) bool {
	for at := 0; ; {
		i := bytes.Index(raw[at:], payloadPrefix)
		if i < 0 {
			return false
		}
		if at += i; at >= recordHeaderSize {
			if _, _, problem := parseRecord(raw[at-recordHeaderSize:]); problem == "" {
				return true
			}
		}
		at++
	}
}

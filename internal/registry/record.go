package registry

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// The log is one file: a magic string, then records. A record consists of the length and the CRC-32C of its payload,
// four bytes each in little-endian order, and the payload, a List in JSON. The first record is a complete list, the
// others are changes.

const (
	logMagic         = "hr-list1"
	recordHeaderSize = 8
	maxRecordBytes   = 64 << 20
)

var (
	castagnoli    = crc32.MakeTable(crc32.Castagnoli)
	payloadPrefix = []byte(`{"revision":`) // start of every payload
)

// CorruptError reports a log that can't be read, other than by a torn tail, which an interrupted write leaves behind.
type CorruptError struct {
	Path   string
	Offset int64
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at byte %d: %s", e.Path, e.Offset, e.Reason)
}

// appendRecord appends the record of a list to dst.
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

// parseRecord splits the first record off raw; problem says what is wrong with it, and is empty if it is valid.
func parseRecord(raw []byte) (payload, rest []byte, problem string) {
	if len(raw) < recordHeaderSize {
		return nil, raw, "record header is truncated"
	}
	n := binary.LittleEndian.Uint32(raw)
	if n > maxRecordBytes || int(n) < len(payloadPrefix) {
		return nil, raw, fmt.Sprintf("record has invalid length %d", n)
	}
	if int(n) > len(raw)-recordHeaderSize {
		return nil, raw, "record is truncated"
	}
	payload, rest = raw[recordHeaderSize:recordHeaderSize+n], raw[recordHeaderSize+n:]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(raw[4:]) {
		return nil, raw, "record checksum does not match"
	}
	return payload, rest, ""
}

// readLog reads the records of a log. It stops at a torn tail and returns the number of valid bytes before it. An
// invalid record that is followed by a valid one is an error.
func readLog(path string, raw []byte) (lists []List, validBytes int64, err error) {
	rest, found := bytes.CutPrefix(raw, []byte(logMagic))
	if !found {
		return nil, 0, &CorruptError{path, 0, "not a log of this version"}
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
		// Only the last write can be torn, so no valid record may follow it. The first record can't be torn, because it
		// was synced before the file got its name.
		if containsRecord(rest[1:]) || len(lists) == 0 {
			return nil, offset, &CorruptError{path, offset, problem}
		}
		return lists, offset, nil
	}
	if len(lists) == 0 {
		return nil, int64(len(raw)), &CorruptError{path, int64(len(raw)), "log holds no list"}
	}
	return lists, int64(len(raw)), nil
}

// checkOrder returns an error if l may not follow the records before it.
func checkOrder(before []List, l List) error {
	switch {
	case len(before) == 0 && !l.Complete:
		return fmt.Errorf("first record is not a complete list")
	case len(before) > 0 && l.Revision <= before[len(before)-1].Revision:
		return fmt.Errorf("revision %d follows revision %d", l.Revision, before[len(before)-1].Revision)
	}
	return nil
}

// containsRecord reports whether a valid record begins anywhere in raw.
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

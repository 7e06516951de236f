package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"time"
)

// readRecord reads the next record and returns its payload. The error is io.EOF between records, and
// io.ErrUnexpectedEOF inside one.
func readRecord(r io.Reader) ([]byte, error) {
	var head [recordHeaderBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.LittleEndian.Uint32(head[:])
	if n == 0 || n > maxRecordBytes {
		return nil, fmt.Errorf("%w: invalid length", errCorrupt)
	}
	payload := make([]byte, n)
	if _, err := io.ReadFull(r, payload); errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	} else if err != nil {
		return nil, err
	}
	if crc32.ChecksumIEEE(payload) != binary.LittleEndian.Uint32(head[4:]) {
		return nil, fmt.Errorf("%w: checksum mismatch", errCorrupt)
	}
	return payload, nil
}

// payloadReader decodes the fields of a payload. It sets malformed if the payload is too short.
type payloadReader struct {
	rest      []byte
	malformed bool
}

func (f *payloadReader) uvarint() uint64 {
	v, n := binary.Uvarint(f.rest)
	if n <= 0 {
		f.malformed, f.rest = true, nil
		return 0
	}
	f.rest = f.rest[n:]
	return v
}

func (f *payloadReader) bytes() []byte {
	n := f.uvarint()
	if n > uint64(len(f.rest)) {
		f.malformed, f.rest = true, nil
		return nil
	}
	v := f.rest[:n]
	f.rest = f.rest[n:]
	return v
}

func (f *payloadReader) time() time.Time { return time.UnixMicro(int64(f.uvarint())) }

func appendBytes(b, v []byte) []byte {
	return append(binary.AppendUvarint(b, uint64(len(v))), v...)
}

func appendTime(b []byte, t time.Time) []byte {
	return binary.AppendUvarint(b, uint64(t.UnixMicro()))
}

func appendRecord(b, payload []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.ChecksumIEEE(payload))
	return append(b, payload...)
}

func record(kind byte, seq uint64) []byte { return binary.AppendUvarint([]byte{kind}, seq) }

func acceptedRecord(p *Message) []byte {
	b := record(recAccepted, p.seq)
	b = appendBytes(appendBytes(b, []byte(p.ID)), []byte(p.Key))
	b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(p.Class)), uint64(p.Dest))
	b = appendBytes(appendTime(b, p.Deadline), p.Body)
	return binary.AppendUvarint(b, uint64(p.Tenant+1))
}

func attemptRecord(seq uint64, s Attempt) []byte {
	b := binary.AppendUvarint(appendTime(record(recAttempt, seq), s.At), uint64(s.Zone))
	if s.Incarnation == 0 {
		return b
	}
	return binary.AppendUvarint(binary.AppendUvarint(b, uint64(s.ListRevision)), uint64(s.Incarnation))
}

// outcomeRecord returns the payload of a record of kind recNotExecuted or recFailed.
func outcomeRecord(kind byte, seq uint64, attempt int) []byte {
	return binary.AppendUvarint(record(kind, seq), uint64(attempt))
}

func endedRecord(seq uint64, e Ending, mayHaveRun bool) []byte {
	b := appendBool(record(recEnded, seq), e.Failed)
	b = binary.AppendUvarint(b, uint64(e.RetryAfter/time.Millisecond))
	return appendBool(b, mayHaveRun)
}

func appendBool(b []byte, v bool) []byte {
	if v {
		return binary.AppendUvarint(b, 1)
	}
	return binary.AppendUvarint(b, 0)
}

package ingress

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// This package has its own RESP reader because redcon v1.6.4 indexes out of its buffer on a bulk length near the
// largest integer, loops over any array count that a client sends, and buffers requests without bound.

// bodyIndex is the index of the body among the arguments of ENQUEUE, the only command with a long argument.
const bodyIndex = 4

// errProtocol reports malformed framing. It ends the connection, because the start of the next request is unknown.
var errProtocol = errors.New("Protocol error")

// Errors that report an oversized argument. The command was read to its end, so that the connection can continue.
var (
	errBodyTooLarge = errors.New("a body holds 65536 bytes at most")
	errArgTooLarge  = errors.New("an argument other than the body holds 1024 bytes at most")
)

// commandReader reads commands within the size limits of this package. At any time it holds at most maxArgs arguments
// of maxArgBytes, and a body for which reserve has granted the memory.
type commandReader struct {
	r       *bufio.Reader
	reserve func(bytes int) error // called before a body of more than maxArgBytes is read
}

// read reads an array of bulk strings or an inline command.
func (c *commandReader) read() ([][]byte, error) {
	line, err := readLine(c.r)
	if err != nil || len(line) == 0 {
		return nil, err
	}
	if line[0] != '*' {
		var words [][]byte
		for _, w := range strings.Fields(string(line)) {
			words = append(words, []byte(w))
		}
		return words, nil
	}
	count, err := strconv.Atoi(string(line[1:]))
	if err != nil || count < 0 || count > maxArgs {
		return nil, fmt.Errorf("%w: invalid multibulk length", errProtocol)
	}
	args := make([][]byte, 0, count)
	var oversized error
	for i := range count {
		arg, err := c.readArg(i)
		if errors.Is(err, errBodyTooLarge) || errors.Is(err, errArgTooLarge) {
			oversized = err
		} else if err != nil {
			return nil, err
		}
		args = append(args, arg)
	}
	if oversized != nil {
		return nil, oversized
	}
	return args, nil
}

// readArg reads the bulk string of an argument. Of an oversized one it keeps nothing.
func (c *commandReader) readArg(index int) ([]byte, error) {
	line, err := readLine(c.r)
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	if len(line) == 0 || line[0] != '$' {
		return nil, fmt.Errorf("%w: expected '$'", errProtocol)
	}
	size, err := strconv.Atoi(string(line[1:]))
	if err != nil || size < 0 || size > maxDiscardBytes {
		return nil, fmt.Errorf("%w: invalid bulk length", errProtocol)
	}
	var oversized error
	switch {
	case size > maxBodyBytes && index == bodyIndex:
		oversized = errBodyTooLarge
	case size > maxArgBytes && index != bodyIndex:
		oversized = errArgTooLarge
	case size > maxArgBytes:
		if err := c.reserve(size); err != nil {
			return nil, err
		}
	}
	if oversized != nil {
		if _, err := c.r.Discard(size); err != nil {
			return nil, unexpectedEOF(err)
		}
		size = 0
	}
	arg := make([]byte, size+len("\r\n"))
	if _, err := io.ReadFull(c.r, arg); err != nil {
		return nil, unexpectedEOF(err)
	}
	if string(arg[size:]) != "\r\n" {
		return nil, fmt.Errorf("%w: a bulk string of another length than told", errProtocol)
	}
	return arg[:size:size], oversized
}

// unexpectedEOF turns io.EOF into io.ErrUnexpectedEOF, to tell an end inside a request from one between requests.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || (err == nil && len(line) > maxLineBytes) {
		return nil, fmt.Errorf("%w: a line too long", errProtocol)
	}
	if err != nil {
		if len(line) > 0 {
			return nil, unexpectedEOF(err)
		}
		return nil, err
	}
	return []byte(strings.TrimRight(string(line), "\r\n")), nil
}

// encodeCommand returns a command as an array of bulk strings, as it would be read again.
func encodeCommand(args [][]byte) []byte {
	var b []byte
	b = fmt.Appendf(b, "*%d\r\n", len(args))
	for _, a := range args {
		b = fmt.Appendf(b, "$%d\r\n", len(a))
		b = append(b, a...)
		b = append(b, "\r\n"...)
	}
	return b
}

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

const (
	// bodyIndex is the index of the body among the arguments of ENQUEUE, the only command with a long argument.
	bodyIndex = 4
	// enqueueArgs is the number of arguments of ENQUEUE, its name included.
	enqueueArgs = 5
)

// Names of the commands, in upper case.
const (
	commandPing    = "PING"
	commandEnqueue = "ENQUEUE"
)

// argEnd follows each argument.
const argEnd = "\r\n"

// errProtocol reports malformed framing. It ends the connection, because the start of the next request is unknown.
var errProtocol = errors.New("Protocol error")

// errArgLength reports an argument that doesn't end where its length says.
var errArgLength = fmt.Errorf("%w: a bulk string of another length than told", errProtocol)

// Errors that report an oversized argument. The command was read to its end, so that the connection can continue.
var (
	errBodyTooLarge = errors.New("a body holds 65536 bytes at most")
	errArgTooLarge  = errors.New("an argument other than the body holds 1024 bytes at most")
)

// commandReader reads commands within the size limits of this package. At any time it holds at most the arguments of an
// ENQUEUE, of maxArgBytes each, and a body for which reserve has granted the memory. Of other commands it keeps the name
// at most, since nothing depends on their arguments and their peers may never send the rest.
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
	keep := true
	for i := range count {
		arg, err := c.readArg(i, keep)
		if errors.Is(err, errBodyTooLarge) || errors.Is(err, errArgTooLarge) {
			oversized = err
		} else if err != nil {
			return nil, err
		}
		if i == 0 {
			keep = count == enqueueArgs && commandName(arg) == commandEnqueue
		}
		if i == 0 && commandName(arg) == "" {
			arg = nil
		}
		args = append(args, arg)
	}
	if oversized != nil {
		return nil, oversized
	}
	return args, nil
}

// commandName returns the name of a command in the form of the constants. For a name that is no command's it returns an
// empty string.
func commandName(name []byte) string {
	for _, known := range []string{commandPing, commandEnqueue} {
		if len(name) == len(known) && strings.EqualFold(string(name), known) {
			return known
		}
	}
	return ""
}

// readArg reads the bulk string of an argument. It returns nil for one that is oversized or not to be kept.
func (c *commandReader) readArg(index int, keep bool) ([]byte, error) {
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
	case size > maxArgBytes && keep:
		return c.readLargeBody(size)
	}
	if oversized != nil || !keep {
		if err := c.discardArg(size); err != nil {
			return nil, err
		}
		return nil, oversized
	}
	arg := make([]byte, size)
	if err := c.readInto(arg); err != nil {
		return nil, err
	}
	return arg, nil
}

// readLargeBody reads a body of more than maxArgBytes once there is memory for it.
func (c *commandReader) readLargeBody(size int) ([]byte, error) {
	if err := c.reserve(size); err != nil {
		return nil, err
	}
	body := newBody(size)
	if err := c.readInto(body); err != nil {
		reuseBody(body)
		return nil, err
	}
	return body, nil
}

// readInto reads an argument as long as arg, and its end. The end has no place in arg, so that the largest body fills its
// pages.
func (c *commandReader) readInto(arg []byte) error {
	if _, err := io.ReadFull(c.r, arg); err != nil {
		return unexpectedEOF(err)
	}
	return c.readArgEnd()
}

// discardArg reads an argument of the given size and its end, and drops it.
func (c *commandReader) discardArg(size int) error {
	if _, err := c.r.Discard(size); err != nil {
		return unexpectedEOF(err)
	}
	return c.readArgEnd()
}

// readArgEnd reads the end of an argument.
func (c *commandReader) readArgEnd() error {
	end, err := c.r.Peek(len(argEnd))
	if err != nil {
		return unexpectedEOF(err)
	}
	if string(end) != argEnd {
		return errArgLength
	}
	_, err = c.r.Discard(len(argEnd))
	return err
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

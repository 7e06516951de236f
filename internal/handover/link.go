// Package handover connects the two processes of a node during an upgrade. It determines which process owns the
// state folder, lets a new process ask the owner to hand over, and defines the frames that the two exchange.
// The content of the state that is handed over is up to package node.
package handover

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/ingress"
	"harrierramp/internal/listwatch"
)

const (
	writeTimeout    = 2 * time.Second // for writing a frame: the other process only has to read it
	maxFrameBytes   = 64 << 20
	maxRequestBytes = 1 << 10 // of the frame of a process that asks to take over, which is not trusted yet
)

// ErrBadFrame is returned for a frame that is too long, malformed, or not the expected one.
var ErrBadFrame = errors.New("handover: malformed frame")

// Link is the connection between two processes of a node. A frame is its length as four bytes, big-endian, and
// JSON, because the processes may be of different builds. A file descriptor is sent along with the frame's
// first byte.
type Link struct {
	Conn *net.UnixConn
	mu   sync.Mutex // serializes frames
}

// Frame is one message on a Link. Exactly one of its fields is set.
type Frame struct {
	// The new process's request to the owner of the lock, and the answer.
	Ask   bool   `json:",omitempty"`
	State *State `json:",omitempty"` // sent with the descriptor of the lock

	// From the old process to its successor.
	Client     *ingress.ConnHandover `json:",omitempty"` // sent with the descriptor of the connection
	CallResult *CallResult           `json:"Ended,omitempty"`
	Command    *Command              `json:"Order,omitempty"`

	// From the successor.
	Cancel        *Attempt       `json:",omitempty"`
	CommandResult *CommandResult `json:"Done,omitempty"`
}

type (
	// State is what the node knows beside the journal and the operators' overrides.
	State struct {
		Clock          time.Duration // reading of the sender's clock
		ClockReadAt    int64         `json:"At"` // Unix time in nanoseconds at which Clock was read
		Sender         json.RawMessage
		Revision       int64
		Members        []listwatch.Member
		KnownDests     []int     `json:"Dests"`
		KnownEndpoints []string  `json:"Named"`
		InFlight       []Attempt `json:"Out"` // attempts whose calls go on in the old process
		EndedIDs       []byte    // of messages that have ended, as dedup.Set encodes them
	}
	// Attempt identifies one attempt to deliver a message.
	Attempt struct {
		MessageID string `json:"ID"`
		Number    int    `json:"N"`
	}
	// CallResult is the outcome of a call that the old process made.
	CallResult struct {
		Attempt
		Endpoint    string
		Outcome     choice.Outcome
		RetryAfter  time.Duration `json:"Wait"`
		Took        time.Duration
		NoSlot      bool
		MessageDone bool `json:"Closed"`
		Reused      bool
		Report      choice.LimitReport
	}
	// Command is an operator's command that reached the old process. Endpoint is empty for a drain.
	Command struct {
		Number   int
		Endpoint string
		On       bool
	}
	// CommandResult is the answer to the command of the same number.
	CommandResult struct {
		Number  int
		Unknown bool   // the endpoint does not exist
		Error   string `json:"No"` // empty if the command is in effect
	}
)

// Send writes a frame, along with a file descriptor unless descriptor is negative.
func (l *Link) Send(f Frame, descriptor int) error {
	payload, err := json.Marshal(f)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	b := append(binary.BigEndian.AppendUint32(nil, uint32(len(payload))), payload...)
	var rights []byte
	if descriptor >= 0 {
		rights = syscall.UnixRights(descriptor)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	n, _, err := l.Conn.WriteMsgUnix(b, rights, nil)
	if err == nil && n < len(b) {
		_, err = l.Conn.Write(b[n:])
	}
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// ReceiveRequest reads the first frame from a process that has connected to the owner.
func (l *Link) ReceiveRequest() (Frame, error) {
	f, file, err := l.receive(maxRequestBytes)
	if file != nil {
		file.Close()
	}
	return f, err
}

// Receive reads a frame and the file descriptor that was sent with it. file is nil if there was none.
func (l *Link) Receive() (f Frame, file *os.File, err error) { return l.receive(maxFrameBytes) }

// receive is Receive for a frame of at most maxBytes. It takes no memory for bytes that have not come.
func (l *Link) receive(maxBytes uint32) (f Frame, file *os.File, err error) {
	defer func() {
		if err != nil && file != nil {
			file.Close()
			file = nil
		}
	}()
	var header [4]byte
	rights := make([]byte, syscall.CmsgSpace(4))
	for got := 0; got < len(header); {
		n, rn, _, _, err := l.Conn.ReadMsgUnix(header[got:], rights)
		if rn > 0 && file == nil {
			if file, err = parseDescriptor(rights[:rn]); err != nil {
				return f, file, err
			}
		}
		if err != nil {
			return f, file, err
		}
		got += n
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxBytes {
		return f, file, ErrBadFrame
	}
	payload, err := io.ReadAll(io.LimitReader(l.Conn, int64(size)))
	if err != nil {
		return f, file, err
	}
	if len(payload) < int(size) {
		return f, file, io.ErrUnexpectedEOF
	}
	if err := json.Unmarshal(payload, &f); err != nil {
		return f, file, fmt.Errorf("%w: %w", ErrBadFrame, err)
	}
	return f, file, nil
}

// parseDescriptor returns the file descriptor in a control message.
func parseDescriptor(rights []byte) (*os.File, error) {
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil || len(messages) != 1 {
		return nil, ErrBadFrame
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return nil, ErrBadFrame
	}
	return os.NewFile(uintptr(fds[0]), "passed"), nil
}

// Close closes the link. The other process sees the end of the stream.
func (l *Link) Close() error { return l.Conn.Close() }

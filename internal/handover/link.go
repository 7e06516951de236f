// Package handover joins the two processes that are one node during an upgrade: who owns the folder, how the owner is
// asked for it, and the frames that pass between them. What is handed over is the node's to say.
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
	writeTimeout  = 2 * time.Second // to write a frame: the other process only has to read
	maxFrameBytes = 64 << 20
)

var ErrBadFrame = errors.New("handover: a frame that can't be read")

// Link joins two processes of one node. A frame is its length, four bytes, and JSON, so that versions may differ; a
// descriptor goes with its first byte.
type Link struct {
	Conn *net.UnixConn
	mu   sync.Mutex // one frame at a time
}

// Frame holds one of these.
type Frame struct {
	// To the owner of the lock, from the process that comes, and the answer.
	Ask   bool   `json:",omitempty"`
	State *State `json:",omitempty"` // with the lock

	// From the old process to its successor.
	Client     *ingress.ConnHandover `json:",omitempty"` // with its connection
	CallResult *CallResult           `json:"Ended,omitempty"`
	Command    *Command              `json:"Order,omitempty"`

	// From the successor.
	Cancel        *Attempt       `json:",omitempty"`
	CommandResult *CommandResult `json:"Done,omitempty"`
}

type (
	// carriedNode is what the node knows beside the journal and the orders.
	State struct {
		Clock          time.Duration // of the module,
		ClockReadAt    int64         `json:"At"` // at this Unix time in nanoseconds
		Sender         json.RawMessage
		Revision       int64
		Members        []listwatch.Member
		KnownDests     []int     `json:"Dests"`
		KnownEndpoints []string  `json:"Named"`
		InFlight       []Attempt `json:"Out"` // attempts that are out at the old process
	}
	Attempt struct {
		MessageID string `json:"ID"`
		Number    int    `json:"N"`
	}
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
	Command struct {
		Number   int
		Endpoint string
		On       bool
	}
	CommandResult struct {
		Number  int
		Unknown bool   // there is no such endpoint
		Error   string `json:"No"` // why not; empty for yes
	}
)

// Send writes a frame, with a descriptor unless that is negative.
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

// Receive reads a frame and the descriptor that came with it, if one did.
func (l *Link) Receive() (f Frame, file *os.File, err error) {
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
	if size > maxFrameBytes {
		return f, file, ErrBadFrame
	}
	payload := make([]byte, size)
	if _, err := io.ReadFull(l.Conn, payload); err != nil {
		return f, file, err
	}
	if err := json.Unmarshal(payload, &f); err != nil {
		return f, file, fmt.Errorf("%w: %w", ErrBadFrame, err)
	}
	return f, file, nil
}

// passed is the descriptor in a control message.
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

// Close ends the link; the other process sees its end.
func (l *Link) Close() error { return l.Conn.Close() }

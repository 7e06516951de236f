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
	linkTimeout = 2 * time.Second // to write a frame: the other process only has to read
	maxFrame    = 64 << 20
)

var ErrFrame = errors.New("handover: a frame that can't be read")

// Link joins two processes of one node. A frame is its length, four bytes, and JSON, so that versions may differ; a
// descriptor goes with its first byte.
type Link struct {
	C  *net.UnixConn
	mu sync.Mutex // one frame at a time
}

// Frame holds one of these.
type Frame struct {
	// To the owner of the lock, from the process that comes, and the answer.
	Ask   bool   `json:",omitempty"`
	State *State `json:",omitempty"` // with the lock

	// From the old process to its successor.
	Client *ingress.ConnHandover `json:",omitempty"` // with its connection
	Ended  *EndedCall            `json:",omitempty"`
	Order  *LinkOrder            `json:",omitempty"`

	// From the successor.
	Cancel *CallName  `json:",omitempty"`
	Done   *OrderDone `json:",omitempty"`
}

type (
	// carriedNode is what the node knows beside the journal and the orders.
	State struct {
		Clock    time.Duration // of the module,
		At       int64         // at this Unix time in nanoseconds
		Sender   json.RawMessage
		Revision int64
		Members  []listwatch.Member
		Dests    []int
		Named    []string
		Out      []CallName // attempts that are out at the old process
	}
	CallName struct {
		ID string
		N  int
	}
	EndedCall struct {
		CallName
		Endpoint               string
		Outcome                choice.Outcome
		Wait, Took             time.Duration
		NoSlot, Closed, Reused bool
		Report                 choice.LimitReport
	}
	LinkOrder struct {
		Number   int
		Endpoint string
		On       bool
	}
	OrderDone struct {
		Number  int
		Unknown bool   // there is no such endpoint
		No      string // why not; empty for yes
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
	if err := l.C.SetWriteDeadline(time.Now().Add(linkTimeout)); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	n, _, err := l.C.WriteMsgUnix(b, rights, nil)
	if err == nil && n < len(b) {
		_, err = l.C.Write(b[n:])
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
	var head [4]byte
	rights := make([]byte, syscall.CmsgSpace(4))
	for got := 0; got < len(head); {
		n, rn, _, _, err := l.C.ReadMsgUnix(head[got:], rights)
		if rn > 0 && file == nil {
			if file, err = passed(rights[:rn]); err != nil {
				return f, file, err
			}
		}
		if err != nil {
			return f, file, err
		}
		got += n
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > maxFrame {
		return f, file, ErrFrame
	}
	payload := make([]byte, size)
	if _, err := io.ReadFull(l.C, payload); err != nil {
		return f, file, err
	}
	if err := json.Unmarshal(payload, &f); err != nil {
		return f, file, fmt.Errorf("%w: %w", ErrFrame, err)
	}
	return f, file, nil
}

// passed is the descriptor in a control message.
func passed(rights []byte) (*os.File, error) {
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil || len(messages) != 1 {
		return nil, ErrFrame
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return nil, ErrFrame
	}
	return os.NewFile(uintptr(fds[0]), "passed"), nil
}

// Close ends the link; the other process sees its end.
func (l *Link) Close() error { return l.C.Close() }

package node

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
)

const (
	linkTimeout = 2 * time.Second // to write a frame: the other process only has to read
	maxFrame    = 64 << 20
)

var errLink = errors.New("handover: a frame that can't be read")

// link joins two processes of one node. A frame is its length, four bytes, and JSON, so that versions may differ; a
// descriptor goes with its first byte.
type link struct {
	c  *net.UnixConn
	mu sync.Mutex // one frame at a time
}

// frame holds one of these.
type frame struct {
	// To the owner of the lock, from the process that comes, and the answer.
	Ask   bool         `json:",omitempty"`
	State *carriedNode `json:",omitempty"` // with the lock

	// From the old process to its successor.
	Client *movedClient `json:",omitempty"` // with its connection
	Ended  *endedCall   `json:",omitempty"`
	Order  *linkOrder   `json:",omitempty"`

	// From the successor.
	Cancel *callName  `json:",omitempty"`
	Done   *orderDone `json:",omitempty"`
}

type (
	// carriedNode is what the node knows beside the journal and the orders.
	carriedNode struct {
		Clock    time.Duration // of the module,
		At       int64         // at this Unix time in nanoseconds
		Sender   json.RawMessage
		Revision int64
		Members  []member
		Dests    []int
		Named    []string
		Out      []callName // attempts that are out at the old process
	}
	// movedClient is where a client's connection stands.
	movedClient struct {
		Raw         []byte // what has been read of requests without an answer
		Since, Came int64  // Unix nanoseconds: of its last answer, and of the request's first byte
	}
	callName struct {
		ID string
		N  int
	}
	endedCall struct {
		callName
		Endpoint               string
		Outcome                choice.Outcome
		Wait, Took             time.Duration
		NoSlot, Closed, Reused bool
		Report                 choice.Report
	}
	linkOrder struct {
		Number   int
		Endpoint string
		On       bool
	}
	orderDone struct {
		Number  int
		Unknown bool   // there is no such endpoint
		No      string // why not; empty for yes
	}
)

// send writes a frame, with a descriptor unless that is negative.
func (l *link) send(f frame, descriptor int) error {
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
	if err := l.c.SetWriteDeadline(time.Now().Add(linkTimeout)); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	n, _, err := l.c.WriteMsgUnix(b, rights, nil)
	if err == nil && n < len(b) {
		_, err = l.c.Write(b[n:])
	}
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// receive reads a frame and the descriptor that came with it, if one did.
func (l *link) receive() (f frame, file *os.File, err error) {
	defer func() {
		if err != nil && file != nil {
			file.Close()
			file = nil
		}
	}()
	var head [4]byte
	rights := make([]byte, syscall.CmsgSpace(4))
	for got := 0; got < len(head); {
		n, rn, _, _, err := l.c.ReadMsgUnix(head[got:], rights)
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
		return f, file, errLink
	}
	payload := make([]byte, size)
	if _, err := io.ReadFull(l.c, payload); err != nil {
		return f, file, err
	}
	if err := json.Unmarshal(payload, &f); err != nil {
		return f, file, fmt.Errorf("%w: %w", errLink, err)
	}
	return f, file, nil
}

// passed is the descriptor in a control message.
func passed(rights []byte) (*os.File, error) {
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil || len(messages) != 1 {
		return nil, errLink
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return nil, errLink
	}
	return os.NewFile(uintptr(fds[0]), "passed"), nil
}

func (l *link) close() error { return l.c.Close() }

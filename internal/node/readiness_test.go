package node

import (
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"harrierramp/internal/handover"
)

// newHandoverLink returns a link, and the successor's end of its connection.
func newHandoverLink(t *testing.T) (link *handover.Link, successor net.Conn) {
	t.Helper()
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	var ends [2]net.Conn
	for i, fd := range pair {
		file := os.NewFile(uintptr(fd), "handover")
		if ends[i], err = net.FileConn(file); err != nil {
			t.Fatal(err)
		}
		file.Close()
		t.Cleanup(func() { ends[i].Close() })
	}
	return &handover.Link{Conn: ends[0].(*net.UnixConn)}, ends[1]
}

// Guards against two processes that say they are ready: the predecessor must not be when the successor has the first byte
// of its state, and is again if the hand-over fails.
func TestPredecessorIsNotReadyOnceStateIsSent(t *testing.T) {
	for _, fails := range []bool{false, true} {
		n := newIdleNode(t)
		lock, err := os.Create(filepath.Join(t.TempDir(), "lock"))
		if err != nil {
			t.Fatal(err)
		}
		defer lock.Close()
		n.ownershipLock = lock
		n.serving.Store(true)
		if reason := n.NotReadyReason(); reason != "" {
			t.Fatal(reason)
		}
		link, successor := newHandoverLink(t)
		readyAtFirstByte := make(chan bool, 1)
		if fails {
			successor.Close()
		} else {
			go func() {
				_, err := successor.Read(make([]byte, 1))
				readyAtFirstByte <- err != nil || n.NotReadyReason() == ""
			}()
		}
		if handedOver := n.handOver(link); handedOver == fails {
			t.Fatalf("handed over: %v", handedOver)
		}
		if !fails && <-readyAtFirstByte {
			t.Error("ready while the successor has the state")
		}
		if ready := n.NotReadyReason() == ""; ready != fails {
			t.Errorf("hand-over fails: %v, ready: %v", fails, ready)
		}
	}
}

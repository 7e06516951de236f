package handover

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"testing"
)

// linkPair returns a Link and the other end of its connection.
func linkPair(t *testing.T) (*Link, *net.UnixConn) {
	t.Helper()
	dir, err := os.MkdirTemp("", "link")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	addr := &net.UnixAddr{Name: filepath.Join(dir, "s"), Net: "unix"}
	ln, err := net.ListenUnix("unix", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	far, err := net.DialUnix("unix", nil, addr)
	if err != nil {
		t.Fatal(err)
	}
	near, err := ln.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		near.Close()
		far.Close()
	})
	return &Link{Conn: near}, far
}

// Guards against taking memory for a frame that is announced and does not come.
func TestAnnouncedFrameTakesNoMemory(t *testing.T) {
	link, far := linkPair(t)
	if _, err := far.Write(append(binary.BigEndian.AppendUint32(nil, maxFrameBytes), "{"...)); err != nil {
		t.Fatal(err)
	}
	far.Close()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, _, err := link.Receive()
	runtime.ReadMemStats(&after)
	if took := after.TotalAlloc - before.TotalAlloc; took > maxFrameBytes/64 || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("%d bytes for a frame of which one came, %v", took, err)
	}
}

// A process that asks to take over may send no more than a request, and what was sent before the request is whole is
// none.
func TestRequestFrameIsBounded(t *testing.T) {
	link, far := linkPair(t)
	if err := (&Link{Conn: far}).Send(Frame{Ask: true}, -1); err != nil {
		t.Fatal(err)
	}
	if f, err := link.ReceiveRequest(); err != nil || !f.Ask {
		t.Errorf("%+v, %v", f, err)
	}
	if _, err := far.Write(binary.BigEndian.AppendUint32(nil, maxRequestBytes+1)); err != nil {
		t.Fatal(err)
	}
	if _, err := link.ReceiveRequest(); !errors.Is(err, ErrBadFrame) {
		t.Errorf("got %v", err)
	}
}

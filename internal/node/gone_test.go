package node

import (
	"testing"
	"time"

	"harrierramp/internal/ingress"
)

// Guards against accepting a request whose client has left while the request waited for the event loop.
func TestRequestOfGoneClientIsRefused(t *testing.T) {
	n := newIdleNode(t)
	for _, gone := range []bool{false, true} {
		a := submission{
			Request: ingress.Request{ID: "x", Dest: 7, TTL: time.Minute, ReceivedAt: time.Now(), ClientGone: func() bool { return gone }},
			reply:   make(chan ingress.Answer, 1),
		}
		if gone {
			a.ID = "y"
		}
		n.processBatch(t.Context(), []any{a})
		if got := <-a.reply; got.Refused != gone || (n.messages[a.ID] != nil) == gone {
			t.Errorf("gone: %v, got %+v", gone, got)
		}
	}
}

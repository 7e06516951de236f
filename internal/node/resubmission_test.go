package node

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"harrierramp/internal/testkit"
)

const resubmissionDelay = 400 * time.Millisecond // clients wait that long for an answer

// resubmissionCase is a message whose client leaves before it has read the answer, and submits it again.
type resubmissionCase struct {
	name, fields string
	response     string // of the endpoint; "" for a connection that ends without one
	answer       string // the start of the answer to the second submission
}

func resubmissionCases() []resubmissionCase {
	return []resubmissionCase{
		{name: "idempotent", fields: statusFields, response: testkit.DeliveredResponse, answer: "+OK"},
		{name: "deduplicated", fields: orderFields, response: testkit.DeliveredResponse, answer: "+OK"},
		{name: "at most once", fields: payoutFields, response: testkit.DeliveredResponse, answer: "+OK"},
		{name: "at most once, failed", fields: payoutFields, answer: "-ERR"},
	}
}

// submitAndLeave submits a message on a connection of its own, and leaves without reading the answer.
func submitAndLeave(t *testing.T, addr, request string) {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(nc, request); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	time.AfterFunc(resubmissionDelay/2, func() { nc.Close() })
}

// partner starts an endpoint that responds once proceed is closed.
func (c resubmissionCase) partner(t *testing.T, proceed <-chan struct{}) *testkit.Partner {
	return testkit.NewPartner(t, func(nc net.Conn, _ *http.Request) bool {
		<-proceed
		_, err := io.WriteString(nc, c.response)
		return err == nil && c.response != ""
	})
}

func closedChannel() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// mustNotRunAgain submits the message once more, and checks the answer and that the partner has had one call.
func (c resubmissionCase) mustNotRunAgain(t *testing.T, addr string, p *testkit.Partner) {
	t.Helper()
	if got := testkit.Exchange(t, addr, testkit.EnqueueRequest("a", c.fields, "body")); !strings.HasPrefix(got, c.answer) {
		t.Errorf("submitted again: got %q, want %s", got, c.answer)
	}
	time.Sleep(resubmissionDelay)
	if calls, _ := p.Counts(); calls != 1 {
		t.Errorf("the message ran %d times", calls)
	}
}

// Guards against running a message twice whose client has left and submits it again, at the same process.
func TestResubmittedMessageDoesNotRunTwice(t *testing.T) {
	for _, c := range resubmissionCases() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := c.partner(t, closedChannel())
			addr, _ := startNode(t, newFakeDiscovery(t), t.TempDir(), memberJSON("e", p.Addr(), 7, "SERVING"))
			submitAndLeave(t, addr, testkit.EnqueueRequest("a", c.fields, "body"))
			p.Next(t)
			time.Sleep(resubmissionDelay)
			c.mustNotRunAgain(t, addr, p)
		})
	}
}

// Guards against the same after a restart of the process.
func TestResubmittedMessageDoesNotRunTwiceAfterRestart(t *testing.T) {
	for _, c := range resubmissionCases() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p, r, state := c.partner(t, closedChannel()), newFakeDiscovery(t), t.TempDir()
			member := memberJSON("e", p.Addr(), 7, "SERVING")
			addr, stop := startNode(t, r, state, member)
			submitAndLeave(t, addr, testkit.EnqueueRequest("a", c.fields, "body"))
			p.Next(t)
			time.Sleep(resubmissionDelay)
			stop()
			addr, _ = startNode(t, r, state, member)
			c.mustNotRunAgain(t, addr, p)
		})
	}
}

// Guards against the same at the other process of an upgrade, whether the message ran before or during it.
func TestResubmittedMessageDoesNotRunTwiceAtSuccessor(t *testing.T) {
	for _, c := range resubmissionCases() {
		for _, during := range []bool{false, true} {
			name := c.name + ", ran before"
			if during {
				name = c.name + ", runs during"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				proceed := make(chan struct{})
				p := c.partner(t, proceed)
				node := newPlatform(t, newFakeDiscovery(t), memberJSON("e", p.Addr(), 7, "SERVING"))
				node.serve()
				submitAndLeave(t, node.addr(), testkit.EnqueueRequest("a", c.fields, "body"))
				p.Next(t)
				if !during {
					close(proceed)
					time.Sleep(resubmissionDelay)
				}
				node.serve()
				if during {
					close(proceed)
					time.Sleep(resubmissionDelay)
				}
				c.mustNotRunAgain(t, node.addr(), p)
			})
		}
	}
}

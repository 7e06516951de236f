package listwatch

import (
	"context"
	"net/http"
	"testing"
	"time"

	"harrierramp/internal/testkit"
)

// Guards against taking a second copy of a response, which the server's system held back, for the response to the next
// post: a notice would count as accepted that was not.
func TestHeldBackCopyIsNotTheNextPostsResponse(t *testing.T) {
	const accepted, refused = "HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n"
	for name, client := range map[string]*http.Client{"service": NewPostClient(nil), "agent": NewAgentPostClient(nil)} {
		t.Run(name, func(t *testing.T) {
			p := testkit.NewHeldBackPartner(t, accepted, refused, accepted)
			defer client.CloseIdleConnections()
			ctx, cancel := context.WithTimeout(t.Context(), testkit.WaitTimeout)
			defer cancel()
			for i := range 40 {
				_, err := Post(ctx, client, "http://"+p.Addr()+"/reports", []byte("{}\n"))
				if isAccepted := err == nil; isAccepted != (i%2 == 0) {
					t.Errorf("post %d: %v", i, err)
				}
				time.Sleep(10 * time.Millisecond)
			}
			if n := p.Extras(); n < 10 {
				t.Errorf("no verdict: a copy was sent %d times", n)
			}
		})
	}
}

// Posts in a row use one connection.
func TestPostsReuseConnection(t *testing.T) {
	p := testkit.NewPartner(t, testkit.RespondWith("HTTP/1.1 204 No Content\r\n\r\n"))
	client := NewAgentPostClient(nil)
	defer client.CloseIdleConnections()
	for range 5 {
		if _, err := Post(t.Context(), client, "http://"+p.Addr()+"/reports", []byte("{}\n")); err != nil {
			t.Error(err)
		}
	}
	if posts, conns := p.Counts(); posts != 5 || conns != 1 {
		t.Errorf("%d posts on %d connections", posts, conns)
	}
}

// Guards against taking what a server sent behind a list for the next list: no connection of these clients is used twice.
func TestListClientsDoNotReuseConnections(t *testing.T) {
	const list = `{"revision":1,"complete":true,"members":[]}`
	p := testkit.NewPartner(t, testkit.RespondWith("HTTP/1.1 200 OK\r\nContent-Length: 43\r\n\r\n"+list))
	for _, client := range []*http.Client{NewClient(nil), NewAgentClient(nil)} {
		for range 2 {
			if _, err := fetchList(t.Context(), client, p.Addr(), 0); err != nil {
				t.Error(err)
			}
		}
	}
	if requests, conns := p.Counts(); requests != 4 || conns != 4 {
		t.Errorf("%d requests on %d connections", requests, conns)
	}
}

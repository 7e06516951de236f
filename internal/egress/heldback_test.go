package egress

import (
	"testing"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/testkit"
)

const errorResponse = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"

// Guards against taking bytes that an endpoint's system held back behind a response for the response to the next call,
// which loses that call's message: however late they arrive, each call gets the outcome of its own response.
func TestHeldBackBytesAreNotTheNextResponse(t *testing.T) {
	for name, extra := range map[string]string{
		"a second copy": testkit.DeliveredResponse, "two copies": testkit.DeliveredResponse + testkit.DeliveredResponse, "noise": "\r\n\x00garbage\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			p := testkit.NewHeldBackPartner(t, testkit.DeliveredResponse, errorResponse, extra)
			pool, e := testPool(), endpointAt(p.Addr())
			defer pool.Close()
			for i := range 60 {
				want := choice.Success
				if i%2 == 1 {
					want = choice.ServerError
				}
				if res := pool.Do(t.Context(), testCall(e)); res.Outcome != want {
					t.Errorf("call %d: %+v", i, res)
				}
				time.Sleep(2 * settleTime) // a connection has rested when it is used again
			}
			if n := p.Extras(); n < 10 {
				t.Errorf("no verdict: extra bytes were sent %d times", n)
			}
		})
	}
}

// The part of a request that is written ahead must be the beginning of every request.
func TestRequestsStartWithPrefix(t *testing.T) {
	call := testCall(endpointAt("127.0.0.1:9"))
	request, err := encodeRequest(call)
	if err != nil {
		t.Fatal(err)
	}
	if prefix := requestPrefix(call.Endpoint); string(request[:len(prefix)]) != string(prefix) {
		t.Errorf("%q does not start with %q", request, prefix)
	}
}

package egress

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/testkit"
)

// A short lack of local resources, such as descriptors or routes, must not be counted as a failure of the endpoint.
func TestCallRetriesOnLocalShortage(t *testing.T) {
	partner := testkit.NewPartner(t, testkit.RespondWith(testkit.DeliveredResponse))
	failed := func(call string, errno syscall.Errno) error {
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError(call, errno)}
	}
	for name, c := range map[string]struct {
		err   error
		times int
		want  choice.Outcome
	}{
		"no descriptors":          {failed("socket", syscall.ENFILE), 5, choice.Success},
		"no buffers":              {failed("socket", syscall.ENOBUFS), 5, choice.Success},
		"no address":              {failed("connect", syscall.EADDRNOTAVAIL), 5, choice.Success},
		"no route":                {failed("connect", syscall.ENETUNREACH), 5, choice.Success},
		"no descriptors for long": {failed("socket", syscall.EMFILE), 1000, choice.NotSent},
		"no route for long":       {failed("connect", syscall.ENETUNREACH), 1000, choice.ConnectFailed},
		"connection refused":      {failed("connect", syscall.ECONNREFUSED), 1, choice.ConnectFailed},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, tries := testPool(), 0
			dialContext := p.dialContext
			p.dialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
				if tries++; tries <= c.times {
					return nil, c.err
				}
				return dialContext(ctx, network, addr)
			}
			began := time.Now()
			if got := p.Do(t.Context(), testCall(endpointAt(partner.Addr()))); got.Outcome != c.want {
				t.Errorf("got %v after %d dials and %v, want %v", got.Outcome, tries, time.Since(began), c.want)
			}
			if len(p.connSem) > 1 {
				t.Errorf("%d connection slots are taken", len(p.connSem))
			}
		})
	}
}

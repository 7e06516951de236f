package listwatch

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// closeCounter is a connection that counts calls of Close.
type closeCounter struct {
	net.Conn
	closed *atomic.Int32
}

func (c closeCounter) Close() error {
	c.closed.Add(1)
	return nil
}

func TestRaceDialsPastHangingDial(t *testing.T) {
	hang := func(ctx context.Context) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	refused := errors.New("refused")
	for name, c := range map[string]struct {
		dials []func(context.Context) (net.Conn, error) // nil succeeds at once
		took  time.Duration
		err   error
		begun int32
	}{
		"at once":                     {dials: []func(context.Context) (net.Conn, error){nil}, begun: 1},
		"the first hangs":             {dials: []func(context.Context) (net.Conn, error){hang, nil}, took: dialRaceInterval, begun: 2},
		"two hang":                    {dials: []func(context.Context) (net.Conn, error){hang, hang, nil}, took: 2 * dialRaceInterval, begun: 3},
		"refused":                     {dials: []func(context.Context) (net.Conn, error){func(context.Context) (net.Conn, error) { return nil, refused }}, err: refused, begun: 1},
		"all hang until the deadline": {dials: []func(context.Context) (net.Conn, error){hang, hang, hang, hang}, took: time.Second, err: context.DeadlineExceeded, begun: maxRacingDials},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var started, closed atomic.Int32
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				began := time.Now()
				conn, err := raceDials(ctx, func(ctx context.Context) (net.Conn, error) {
					if dial := c.dials[started.Add(1)-1]; dial != nil {
						return dial(ctx)
					}
					return closeCounter{closed: &closed}, nil
				})
				if took := time.Since(began); took != c.took || !errors.Is(err, c.err) || started.Load() != c.begun {
					t.Errorf("after %v, %d dials: %v, %v", took, started.Load(), conn, err)
				}
				synctest.Wait()
				if closed.Load() != 0 {
					t.Error("the connection that was returned is closed")
				}
			})
		})
	}
}

func TestRaceDialsClosesLosingConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var started, closed atomic.Int32
		conn, err := raceDials(t.Context(), func(context.Context) (net.Conn, error) {
			if started.Add(1) == 1 {
				time.Sleep(2 * dialRaceInterval) // succeeds after the second dial
			}
			return closeCounter{closed: &closed}, nil
		})
		if conn == nil || err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if closed.Load() != 1 {
			t.Errorf("%d connections are closed, want 1", closed.Load())
		}
	})
}

package listwatch

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"harrierramp/internal/backoff"
)

const (
	testBeat = 100 * time.Millisecond // in stepped time
	realBeat = 300 * time.Millisecond // long enough for a busy machine
)

// playLinks steps the links of a server whose beats are heard as given, and another's beside it, and returns the acts.
func playLinks(span time.Duration, first, other func(now time.Duration) (heard, more bool)) (acts []string) {
	l := NewLinks(0, testBeat)
	open := false
	for now := time.Duration(0); now < span; now += 10 * time.Millisecond {
		if heard, _ := first(now); heard {
			l.Heard(now)
		}
		if heard, more := other(now); heard && open {
			l.HeardOther(now, more)
		}
		switch l.Step(now) {
		case Open:
			open = true
			acts = append(acts, fmt.Sprint("open ", now))
		case Drop:
			open = false
			acts = append(acts, fmt.Sprint("drop ", now))
		case Leave:
			acts = append(acts, fmt.Sprint("leave ", now))
			return acts
		case Renew:
			acts = append(acts, fmt.Sprint("renew ", now))
		}
	}
	return acts
}

func TestWhatIsDoneAboutASilentServer(t *testing.T) {
	beats := func(now time.Duration) (bool, bool) { return now%testBeat == 0, false }
	never := func(time.Duration) (bool, bool) { return false, false }
	knows := func(now time.Duration) (bool, bool) { return now%testBeat == 0, true }
	until := func(end time.Duration) func(time.Duration) (bool, bool) {
		return func(now time.Duration) (bool, bool) { return now%testBeat == 0 && now <= end, false }
	}
	gap := func(now time.Duration) (bool, bool) {
		return now%testBeat == 0 && (now <= time.Second || now >= 1500*time.Millisecond), false
	}
	late := func(now time.Duration) (bool, bool) { // each beat comes 50 ms late, from a second on
		return now <= time.Second && now%testBeat == 0 || now > time.Second && now%testBeat == 50*time.Millisecond, false
	}
	for name, c := range map[string]struct {
		first, other func(time.Duration) (bool, bool)
		want         string
	}{
		"it beats":                        {beats, knows, "[]"},
		"it becomes slow":                 {late, knows, "[]"},
		"silent, the other knows more":    {until(time.Second), knows, "[open 1.31s leave 1.4s]"},
		"silent, the other knows as much": {until(time.Second), beats, "[open 1.31s leave 2.21s]"},
		"silent, and the other too":       {until(time.Second), never, "[open 1.31s renew 2.52s renew 3.73s renew 4.94s]"},
		"it comes back":                   {gap, beats, "[open 1.31s drop 2.3s]"},
	} {
		if got := fmt.Sprint(playLinks(5*time.Second, c.first, c.other)); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}

// Whatever is heard when: a server that beats is never left, and no act comes without the one that it follows.
func TestLinksKeepTheirOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now, beside, heard, knew := NewLinks(0, testBeat), time.Duration(0), false, time.Duration(0), false
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(4*testBeat)).Draw(t, "pause"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				l.Heard(now)
				heard = now
			case 1:
				if beside {
					more := rapid.Bool().Draw(t, "more")
					l.HeardOther(now, more)
					knew = knew || more
				}
			case 2:
				if beside {
					l.Lost()
					beside, knew = false, false
				}
			}
			act := l.Step(now)
			silent := now-heard > 3*testBeat
			switch {
			case act == Open && (beside || !silent), (act == Drop || act == Leave || act == Renew) && !beside, act == Leave && !silent && !knew:
				t.Fatalf("act %d, beside %v, silent %v", act, beside, silent)
			}
			if beside = beside || act == Open; act == Drop || act == Leave {
				beside, knew = false, false
			}
			knew = knew && act != Renew
			if act == Leave {
				heard = now
			}
		}
	})
}

// beating is a list server that beats until it is stalled.
type beating struct {
	srv     *httptest.Server
	stalled atomic.Bool
	mu      sync.Mutex
	list    List
	asks    int
}

func newBeating(t *testing.T, l List) *beating {
	b := &beating{list: l}
	b.srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		b.asks++
		b.mu.Unlock()
		w.Header().Set(BeatHeader, r.FormValue("beat"))
		for told := int64(-1); r.Context().Err() == nil; time.Sleep(realBeat / 2) {
			if b.stalled.Load() {
				continue
			}
			b.mu.Lock()
			if l := b.list; l.Revision != told {
				told = l.Revision
				json.NewEncoder(w).Encode(l)
			} else {
				fmt.Fprintln(w)
			}
			b.mu.Unlock()
			w.(http.Flusher).Flush()
		}
	}))
	t.Cleanup(func() {
		b.srv.CloseClientConnections()
		b.srv.Close()
	})
	return b
}

// watching is a watcher of two servers, the first of which it begins with.
type watching struct {
	servers []*beating
	told    chan int64
	turned  atomic.Int64
	nudged  chan struct{}
}

func watchTwo(t *testing.T) *watching {
	before := List{Revision: 5, Complete: true, Members: membersOf("a", "b")}
	x := &watching{servers: []*beating{newBeating(t, before), newBeating(t, before)}, told: make(chan int64, 100), nudged: make(chan struct{}, 1)}
	var addrs []string
	for _, s := range x.servers {
		addrs = append(addrs, s.srv.Listener.Addr().String())
	}
	at := NewAddresses(addrs)
	at.first = 0
	ctx, cancel := context.WithCancel(t.Context())
	known := int64(0)
	w := Watcher{
		Log: slog.New(slog.NewTextHandler(t.Output(), nil)), Client: &http.Client{}, At: at, Turns: &fixedTurns{}, Beat: realBeat,
		Heard: func() {}, Turned: func() { x.turned.Add(1) }, Tell: func(l List) { x.told <- l.Revision }, Nudged: x.nudged,
		Check: func(_ context.Context, _ string, l List) (List, error) {
			if l.Revision < known {
				return l, errOlderList
			}
			known = l.Revision
			return l, nil
		},
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx, 0)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	if got := <-x.told; got != 5 {
		t.Fatalf("revision %d", got)
	}
	return x
}

func (b *beating) asked() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.asks
}

// change gives the second server a list that the first does not have.
func (x *watching) change() {
	x.servers[1].mu.Lock()
	defer x.servers[1].mu.Unlock()
	x.servers[1].list = List{Revision: 6, Members: []Member{{ID: "a", Phase: "DELETED"}}}
}

// until waits for a revision, and tells how long that took.
func (x *watching) until(revision int64) time.Duration {
	began := time.Now()
	for got := int64(0); got != revision; got = <-x.told {
	}
	return time.Since(began)
}

// A link that goes silent while its connection stays open is met within a few beats: the other server's list holds.
func TestASilentLinkIsMetByAnotherServer(t *testing.T) {
	x := watchTwo(t)
	time.Sleep(8 * realBeat)
	if x.servers[1].asked() != 0 || x.turned.Load() != 0 {
		t.Errorf("at rest the other is asked %d times", x.servers[1].asked())
	}
	x.servers[0].stalled.Store(true)
	x.change()
	if took := x.until(6); took > 20*realBeat {
		t.Errorf("the other's list holds after %v", took)
	}
	x.servers[0].stalled.Store(false) // it may beat again, and is not gone back to
	time.Sleep(8 * realBeat)
	if x.turned.Load() != 1 {
		t.Errorf("%d turns", x.turned.Load())
	}
}

// Who hears that others act on a later list asks another server beside the one that is behind, and follows that if it knows
// more; if it does not, the first is kept.
func TestANudgedWatcherFindsWhoKnowsMore(t *testing.T) {
	x := watchTwo(t)
	Nudge(x.nudged)
	time.Sleep(4 * realBeat)
	if x.turned.Load() != 0 || x.servers[1].asked() != 1 {
		t.Errorf("%d turns, %d asks, and the other knows no more", x.turned.Load(), x.servers[1].asked())
	}
	x.change()
	Nudge(x.nudged)
	x.until(6)
	Nudge(x.nudged) // the first is behind
	time.Sleep(4 * realBeat)
	if x.turned.Load() != 1 {
		t.Errorf("%d turns", x.turned.Load())
	}
}

// A move of the servers ends the pause before the next ask, too.
func TestAMoveEndsThePause(t *testing.T) {
	b := newBeating(t, List{Revision: 5, Complete: true, Members: membersOf("a")})
	at := NewAddresses([]string{"127.0.0.1:1"})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	w := Watcher{
		Log: slog.New(slog.DiscardHandler), Client: &http.Client{}, At: at, Pause: backoff.Backoff{First: time.Hour, Last: time.Hour},
		Heard: func() {}, Turned: func() { at.Move([]string{b.srv.Listener.Addr().String()}) }, Tell: func(List) { cancel() },
	}
	w.Run(ctx, 0)
	if err := ctx.Err(); err != context.Canceled {
		t.Errorf("the list is never heard: %v", err)
	}
}

// Package straggler tells a node that the rest of its fleet acts on a later list than it does: nodes tell each other by
// small datagrams which revision they act on, and one that can't follow within a bound is shut out until it can. Core is
// deterministic: it is handed datagrams, the time and a seed, and hands back datagrams and what is to be done.
//
// What it costs does not hang on the fleet's size: one datagram a period, two more for each change of the list, and
// answers to those that are behind.
package straggler

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"
)

// Config is what a core is told at its start.
type Config struct {
	Self   int // of Fleet
	Fleet  int // nodes, this one too
	Seed   uint64
	Period time.Duration // between words to somebody drawn by chance; 0 for DefaultPeriod
}

// Bounds, in which a straggler is met.
const (
	DefaultPeriod = 400 * time.Millisecond
	// AskAfter is how long others have to be ahead before another server is asked, and up to an eighth more, so that not all
	// ask in one moment. A server that is merely half a second slow has told by then.
	AskAfter = 600 * time.Millisecond
	// Bound is how long a node may be behind, as it knows, before it is shut out.
	Bound = 700 * time.Millisecond
	// AskAgain is how often another server is asked meanwhile.
	AskAgain = time.Second
	// fresh is how long a word counts. A node that is alone goes on: an outage stops nothing.
	fresh = 3 * time.Second
	// witnesses have to say that they act on a later list, or all others where there are fewer. So no single one that is
	// wrong, or lies, shuts anybody out.
	witnesses = 2
	doubtMost = 400 * time.Millisecond
	fan       = 2                     // that hear of a change at once
	asked     = 3                     // that are asked to bear witness
	askPause  = 50 * time.Millisecond // until they are asked again, doubled each time: datagrams get lost
	backMost  = time.Second           // those that were shut out come back within so long of each other
	backAfter = 2 * time.Second       // of being shut out; who was for less comes back at once
)

// Magic begins a word; no note of package choice and no datagram of membership does.
const Magic = 'V'

const (
	version  = 1
	wordSize = 11
)

type kind uint8

const (
	kindTell   kind = iota + 1 // answered where the receiver knows of a later list
	kindAsk                    // answered in any case
	kindAnswer                 // not answered
	kinds
)

// Datagram is to be sent to a node.
type Datagram struct {
	To   int
	Text []byte
}

func encode(k kind, revision int64) []byte {
	return binary.BigEndian.AppendUint64([]byte{Magic, version, byte(k)}, uint64(revision))
}

func decode(b []byte) (k kind, revision int64, ok bool) {
	if len(b) != wordSize || b[0] != Magic || b[1] != version {
		return 0, 0, false
	}
	k, revision = kind(b[2]), int64(binary.BigEndian.Uint64(b[3:]))
	return k, revision, k > 0 && k < kinds && revision >= 0
}

// word is what another node has said.
type word struct {
	from     int
	revision int64
	at       time.Duration
}

// Core is one node's view of who is ahead.
//
// Invariants: it is shut out only while enough others have said of late that they act on a later list, or a floor is set
// that it does not reach; it keeps one word of each node that is ahead, and none of others.
type Core struct {
	cfg      Config
	rng      *rand.Rand
	revision int64
	floor    int64
	ahead    []word // by node
	tellAt   time.Duration
	askAt    time.Duration // when others are to be asked to bear witness; 0 while nobody is ahead
	askPause time.Duration
	doubtAt  time.Duration // when others are asked since the own list server is silent; 0 while it is heard
	doubt    time.Duration // pause
	behind   time.Duration // since; -1 for not
	serverAt time.Duration // when another server is to be asked
	out      bool
	outSince time.Duration
	backAt   time.Duration // 0 while it has not caught up
	send     []Datagram
	Strange  int64 // datagrams that could not be read
	Outs     int64 // times that it was shut out
}

// New makes a core that acts on a revision.
func New(cfg Config, now time.Duration, revision int64) *Core {
	if cfg.Period == 0 {
		cfg.Period = DefaultPeriod
	}
	c := &Core{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self))), revision: revision, behind: -1, askPause: askPause}
	c.tellAt = now + time.Duration(c.rng.Int64N(int64(cfg.Period)))
	return c
}

// others draws other nodes.
func (c *Core) others(count int) (out []int) {
	count = min(count, c.cfg.Fleet-1)
	for len(out) < count {
		if i := c.rng.IntN(c.cfg.Fleet); i != c.cfg.Self && !slices.Contains(out, i) {
			out = append(out, i)
		}
	}
	return out
}

func (c *Core) say(k kind, to ...int) {
	for _, i := range to {
		c.send = append(c.send, Datagram{i, encode(k, c.revision)})
	}
}

// Listed notes the revision that the node acts on from now on.
func (c *Core) Listed(now time.Duration, revision int64) {
	if revision == c.revision {
		return
	}
	c.revision = revision
	c.ahead = slices.DeleteFunc(c.ahead, func(w word) bool { return w.revision <= revision })
	c.say(kindTell, c.others(fan)...)
}

// Doubt notes whether the list server is silent: then others are asked at once, and again with growing pauses.
func (c *Core) Doubt(now time.Duration, silent bool) {
	switch {
	case !silent:
		c.doubtAt = 0
	case c.doubtAt == 0:
		c.doubtAt, c.doubt = now, askPause
	}
}

// Floor notes the least revision that the list service asks of all; 0 for none.
func (c *Core) Floor(revision int64) { c.floor = revision }

// Receive takes a datagram of another node.
func (c *Core) Receive(now time.Duration, from int, text []byte) {
	k, revision, ok := decode(text)
	if !ok || from < 0 || from >= c.cfg.Fleet || from == c.cfg.Self {
		c.Strange++
		return
	}
	if k == kindAsk || k == kindTell && revision < c.revision {
		c.say(kindAnswer, from)
	}
	c.ahead = slices.DeleteFunc(c.ahead, func(w word) bool { return w.from == from })
	if revision > c.revision {
		c.ahead = append(c.ahead, word{from, revision, now})
		c.verify(now)
	}
}

// verify asks others to bear witness while only one says that it is ahead.
func (c *Core) verify(now time.Duration) {
	switch {
	case len(c.ahead) == 0:
		c.askAt, c.askPause = 0, askPause
	case c.witnessed() == 0 && now >= c.askAt:
		c.askAt, c.askPause = now+c.askPause, min(2*c.askPause, fresh)
		c.say(kindAsk, c.others(asked)...)
	}
}

// witnessed is the latest revision that enough others say they act on; 0 for none that is later than the own.
func (c *Core) witnessed() int64 {
	need := min(witnesses, c.cfg.Fleet-1)
	if need == 0 || len(c.ahead) < need {
		return 0
	}
	revisions := make([]int64, len(c.ahead))
	for i, w := range c.ahead {
		revisions[i] = w.revision
	}
	slices.SortFunc(revisions, func(a, b int64) int { return cmp.Compare(b, a) })
	return revisions[need-1]
}

// News is what a step has brought.
type News struct {
	Changed   bool  // whether the node is shut out
	AskServer bool  // another list server than the one that is followed
	Ahead     int64 // the revision that others act on, where that is later
}

// Step does what is due, after the datagrams that have come were handed in.
func (c *Core) Step(now time.Duration) (n News) {
	c.ahead = slices.DeleteFunc(c.ahead, func(w word) bool { return now-w.at > fresh })
	c.verify(now)
	if c.doubtAt > 0 && now >= c.doubtAt {
		c.say(kindAsk, c.others(asked)...)
		c.doubtAt, c.doubt = now+c.doubt, min(2*c.doubt, doubtMost)
	}
	if now >= c.tellAt {
		c.tellAt = now + c.cfg.Period/2 + time.Duration(c.rng.Int64N(int64(c.cfg.Period)))
		c.say(kindTell, c.others(1)...)
	}
	n.Ahead = max(c.witnessed(), c.floor)
	if n.Ahead <= c.revision || c.revision == 0 { // who has no list yet waits for one in its turn
		n.Ahead, c.behind = 0, -1
		return c.back(now, n)
	}
	c.backAt = 0
	if c.behind < 0 {
		c.behind, c.serverAt = now, now+AskAfter+time.Duration(c.rng.Int64N(int64(AskAfter/8)))
	}
	if now >= c.serverAt {
		n.AskServer, c.serverAt = true, now+AskAgain
	}
	if !c.out && now-c.behind >= Bound {
		c.out, c.outSince, n.Changed = true, now, true
		c.Outs++
	}
	return n
}

// back lets a node in again that has caught up, or that nobody says is behind any more. Many do so at once when what kept
// them is mended, so each that was out for long waits for some part of backMost.
func (c *Core) back(now time.Duration, n News) News {
	if !c.out {
		return n
	}
	if c.backAt == 0 {
		if c.backAt = now; now-c.outSince >= backAfter {
			c.backAt += time.Duration(c.rng.Int64N(int64(backMost)))
		}
	}
	if now >= c.backAt {
		c.out, c.backAt, n.Changed = false, 0, true
	}
	return n
}

// Out tells whether the node is shut out: it begins nothing new on what it knows.
func (c *Core) Out() bool { return c.out }

// Behind tells since when the node knows that it is behind.
func (c *Core) Behind() (since time.Duration, ok bool) { return c.behind, c.behind >= 0 }

// Take returns what is to be sent since it was last called.
func (c *Core) Take() []Datagram {
	out := c.send
	c.send = nil
	return out
}

// Wake is when Step has to be called next.
func (c *Core) Wake() time.Duration {
	at := c.tellAt
	if c.behind >= 0 {
		if at = min(at, c.serverAt); !c.out {
			at = min(at, c.behind+Bound)
		}
	}
	if c.backAt > 0 {
		at = min(at, c.backAt)
	}
	for _, w := range c.ahead {
		at = min(at, w.at+fresh+time.Millisecond)
	}
	if c.doubtAt > 0 {
		at = min(at, c.doubtAt)
	}
	if c.askAt > 0 && c.witnessed() == 0 {
		at = min(at, c.askAt)
	}
	if c.behind >= 0 && (max(c.witnessed(), c.floor) <= c.revision || c.revision == 0) {
		at = 0 // it has caught up, and Step decides about the way back
	}
	return at
}

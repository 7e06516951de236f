package node

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"harrierramp/internal/atomicfile"
	"harrierramp/internal/config"
	"harrierramp/internal/gap"
	"harrierramp/internal/listwatch"
	"harrierramp/internal/rollout"
)

const (
	livesName    = "lives"
	claimTimeout = 2 * time.Second
)

// audit is how the node tells the list service what it acts on. The loop owns it.
type audit struct {
	core *rollout.Reporter
	life uint32 // of this process: one more than of the process before
	turn int    // of the list servers
	gap  gap.Gap

	term  context.Context // ends when this process no longer owns the node
	posts sync.WaitGroup
	acts  *actsRecord // nil where none is kept
}

// late notes why the node's list may be late from now on. It may be called from any goroutine.
func (n *Node) late(why string) { n.why.Store(&why) }

// look has the node look before it acts where it did not run for a while: it sends nothing new until a list server has been
// heard, or for gap.Bound.
func (n *Node) look() {
	if n.audit == nil {
		return
	}
	now, g := n.now(), &n.audit.gap
	changed, missed := g.Step(now, n.at(n.figures.LastListActivity()))
	if missed > 0 {
		n.late("the process did not run")
		n.log.Warn("gap", "missed", missed)
		n.figures.ProcessPauses.Add(1)
	}
	if changed && !g.Blind() {
		n.log.Info("gap_over", "list_revision", n.revision)
	}
}

// lain is how long a message may have lain unread since the process did not run; its time has gone on meanwhile.
func (n *Node) lain(came time.Time) time.Duration {
	if n.audit == nil {
		return 0
	}
	return n.audit.gap.Lain(n.at(came))
}

// claimed is the end of a claim that was posted.
type claimed struct {
	err   error
	clock int64 // the server's, in milliseconds; 0 for not told
	ended time.Time
	took  time.Duration
}

// newAudit begins to tell, or is nil where that is off.
func (n *Node) newAudit(term context.Context) *audit {
	if n.cfg.Audit == nil || n.cfg.Registry == nil {
		return nil
	}
	path := filepath.Join(n.cfg.StateDir, livesName)
	before, err := readIncarnation(path)
	if err != nil {
		n.log.Warn("lives_unreadable", "err", err)
		before = uint32(time.Now().Unix()) // later than any count of starts
	}
	a := &audit{life: before + 1, term: term}
	if err := atomicfile.Replace(path, fmt.Appendln(nil, a.life)); err != nil {
		n.log.Warn("lives_not_kept", "err", err)
	}
	a.core = rollout.NewReporter(n.now(), rollout.Report{
		Name: n.cfg.Name, Incarnation: int64(a.life), Revision: n.revision, Build: build(), Config: configDigest(n.cfg), Ready: n.ready(),
		AdminAddr: n.cfg.AdminListen,
	}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	a.acts = n.newActs(a.life)
	return a
}

// build names what this program was built from.
func build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && len(s.Value) >= 12 {
			return s.Value[:12]
		}
	}
	return "unknown"
}

// configDigest is the same for all nodes that are told the same of the deployment.
func configDigest(c config.Config) string {
	c.Delivery.Number = 0
	raw, err := json.Marshal([]any{c.Delivery, c.Limits, c.Registry, c.Membership, c.Audit})
	if err != nil {
		return "unknown"
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:6])
}

// ready tells whether the node takes messages, as far as what it knows goes.
func (n *Node) ready() bool { return (n.cold == nil || n.cold.Ready()) && !n.ward.out() && !n.unfit }

// version is what a call rests on, for a header; empty where that is not told.
func (n *Node) version() string {
	if n.audit == nil {
		return ""
	}
	return fmt.Sprintf("%d.%d", n.revision, n.audit.life)
}

// wait is how long it is until something is to be told, or looked at.
func (a *audit) wait(now time.Duration) time.Duration {
	if a == nil {
		return time.Hour
	}
	wait := a.gap.Wait(now)
	if wake := a.core.WakeAt(); wake > 0 {
		wait = min(wait, max(wake-now, 0))
	}
	return wait
}

// account tells the list service what the node acts on, if that is due.
func (n *Node) account() {
	a := n.audit
	if a == nil {
		return
	}
	now := n.now()
	why := ""
	if last := n.why.Load(); last != nil {
		why = *last
	}
	a.core.Update(now, n.revision, n.ready(), n.ward.out() || n.unfit, why)
	c, due := a.core.Next(now)
	if !due {
		return
	}
	addr, here, cancel := n.discovery.Pick(a.term, a.turn)
	a.posts.Go(func() {
		defer cancel()
		began := time.Now()
		clock, err := postClaim(here, n.client, addr, c)
		if err != nil {
			n.log.Debug("claim_not_taken", "addr", addr, "err", err)
		}
		ended := time.Now()
		n.tell(a.term, claimed{err, clock, ended, ended.Sub(began)})
	})
}

// close waits for what is being told; term has ended.
func (a *audit) close(log *slog.Logger) {
	if a == nil {
		return
	}
	a.posts.Wait()
	if err := a.acts.close(); err != nil {
		log.Warn("acts_not_closed", "err", err)
	}
}

// accounted takes the end of a claim; one that was not taken goes to the next server.
func (n *Node) accounted(e claimed) {
	if n.audit == nil {
		return
	}
	if e.err != nil {
		n.audit.turn++
	} else if e.clock > 0 {
		n.audit.acts.clock(e)
	}
	n.audit.core.Done(n.now(), e.err == nil)
}

// postClaim makes a claim, and returns what the server's clock showed when it took it.
func postClaim(ctx context.Context, client *http.Client, addr string, c rollout.Report) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	raw, err := json.Marshal(c)
	if err != nil {
		return 0, err
	}
	head, err := listwatch.Post(ctx, client, "http://"+addr+"/registry/nodes", raw)
	if err != nil {
		return 0, err
	}
	clock, err := strconv.ParseInt(head.Get(listwatch.ClockHeader), 10, 64)
	if err != nil || clock < 0 {
		clock = 0 // an earlier build
	}
	return clock, nil
}

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
	"harrierramp/internal/listwatch"
	"harrierramp/internal/pausemonitor"
	"harrierramp/internal/rollout"
)

const (
	processIncarnationFile = "lives"
	statusReportTimeout    = 2 * time.Second
)

// audit is how the node tells the list service what it acts on. The loop owns it.
type audit struct {
	reporter    *rollout.Reporter
	incarnation uint32 // of this process: one more than of the process before
	serverIndex int    // of the list servers
	pauses      pausemonitor.Monitor

	ownerCtx context.Context // ends when this process no longer owns the node
	posts    sync.WaitGroup
	record   *auditLog // nil where none is kept
}

// late notes why the node's list may be late from now on. It may be called from any goroutine.
func (n *Node) noteListLate(reason string) { n.lateReason.Store(&reason) }

// look has the node look before it acts where it did not run for a while: it sends nothing new until a list server has been
// heard, or for gap.Bound.
func (n *Node) checkForPause() {
	if n.audit == nil {
		return
	}
	now, monitor := n.now(), &n.audit.pauses
	changed, paused := monitor.Step(now, n.clockAt(n.metrics.LastListActivity()))
	if paused > 0 {
		n.noteListLate("the process did not run")
		n.log.Warn("gap", "missed", paused)
		n.metrics.ProcessPauses.Add(1)
	}
	if changed && !monitor.Stale() {
		n.log.Info("gap_over", "list_revision", n.listRevision)
	}
}

// lain is how long a message may have lain unread since the process did not run; its time has gone on meanwhile.
func (n *Node) unreadFor(readAt time.Time) time.Duration {
	if n.audit == nil {
		return 0
	}
	return n.audit.pauses.UnreadFor(n.clockAt(readAt))
}

// claimed is the end of a claim that was posted.
type statusReportResult struct {
	err           error
	serverClockMS int64 // the server's, in milliseconds; 0 for not told
	ended         time.Time
	took          time.Duration
}

// newAudit begins to tell, or is nil where that is off.
func (n *Node) newAudit(ownerCtx context.Context) *audit {
	if n.cfg.Audit == nil || n.cfg.Registry == nil {
		return nil
	}
	path := filepath.Join(n.cfg.StateDir, processIncarnationFile)
	last, err := readIncarnation(path)
	if err != nil {
		n.log.Warn("lives_unreadable", "err", err)
		last = uint32(time.Now().Unix()) // later than any count of starts
	}
	a := &audit{incarnation: last + 1, ownerCtx: ownerCtx}
	if err := atomicfile.Replace(path, fmt.Appendln(nil, a.incarnation)); err != nil {
		n.log.Warn("lives_not_kept", "err", err)
	}
	a.reporter = rollout.NewReporter(n.now(), rollout.Report{
		Name: n.cfg.Name, Incarnation: int64(a.incarnation), Revision: n.listRevision, Build: buildRevision(), Config: configDigest(n.cfg), Ready: n.ready(),
		AdminAddr: n.cfg.AdminListen,
	}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	a.record = n.newAuditLog(a.incarnation)
	return a
}

// build names what this program was built from.
func buildRevision() string {
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
func (n *Node) ready() bool {
	return (n.startup == nil || n.startup.Ready()) && !n.staleness.fenced() && !n.belowFloor
}

// version is what a call rests on, for a header; empty where that is not told.
func (n *Node) listVersion() string {
	if n.audit == nil {
		return ""
	}
	return fmt.Sprintf("%d.%d", n.listRevision, n.audit.incarnation)
}

// wait is how long it is until something is to be told, or looked at.
func (a *audit) untilDue(now time.Duration) time.Duration {
	if a == nil {
		return time.Hour
	}
	wait := a.pauses.UntilNextStep(now)
	if wake := a.reporter.WakeAt(); wake > 0 {
		wait = min(wait, max(wake-now, 0))
	}
	return wait
}

// account tells the list service what the node acts on, if that is due.
func (n *Node) reportStatus() {
	a := n.audit
	if a == nil {
		return
	}
	now := n.now()
	reason := ""
	if last := n.lateReason.Load(); last != nil {
		reason = *last
	}
	a.reporter.Update(now, n.listRevision, n.ready(), n.staleness.fenced() || n.belowFloor, reason)
	status, due := a.reporter.Next(now)
	if !due {
		return
	}
	addr, addrCtx, cancel := n.discovery.Pick(a.ownerCtx, a.serverIndex)
	a.posts.Go(func() {
		defer cancel()
		began := time.Now()
		clock, err := postStatus(addrCtx, n.httpClient, addr, status)
		if err != nil {
			n.log.Debug("claim_not_taken", "addr", addr, "err", err)
		}
		ended := time.Now()
		n.enqueue(a.ownerCtx, statusReportResult{err, clock, ended, ended.Sub(began)})
	})
}

// close waits for what is being told; term has ended.
func (a *audit) close(log *slog.Logger) {
	if a == nil {
		return
	}
	a.posts.Wait()
	if err := a.record.close(); err != nil {
		log.Warn("acts_not_closed", "err", err)
	}
}

// accounted takes the end of a claim; one that was not taken goes to the next server.
func (n *Node) statusReported(e statusReportResult) {
	if n.audit == nil {
		return
	}
	if e.err != nil {
		n.audit.serverIndex++
	} else if e.serverClockMS > 0 {
		n.audit.record.noteServerClock(e)
	}
	n.audit.reporter.Done(n.now(), e.err == nil)
}

// postClaim makes a claim, and returns what the server's clock showed when it took it.
func postStatus(ctx context.Context, client *http.Client, addr string, status rollout.Report) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, statusReportTimeout)
	defer cancel()
	raw, err := json.Marshal(status)
	if err != nil {
		return 0, err
	}
	header, err := listwatch.Post(ctx, client, "http://"+addr+"/registry/nodes", raw)
	if err != nil {
		return 0, err
	}
	clock, err := strconv.ParseInt(header.Get(listwatch.ClockHeader), 10, 64)
	if err != nil || clock < 0 {
		clock = 0 // an earlier build
	}
	return clock, nil
}

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

// audit reports to the list service which list revision the node acts on, and detects pauses of the process.
// The loop owns it.
type audit struct {
	reporter    *rollout.Reporter
	incarnation uint32 // of this process: one more than that of the previous process
	serverIndex int    // of the list server to report to
	pauses      pausemonitor.Monitor

	ownerCtx context.Context // done when this process no longer owns the node
	posts    sync.WaitGroup
	record   *auditLog // nil if no audit log is written
}

// noteListLate records why the node's list may be out of date from now on. It may be called from any goroutine.
func (n *Node) noteListLate(reason string) { n.lateReason.Store(&reason) }

// checkForPause checks whether the process did not run for a while. After such a pause the node starts no new
// calls until it has heard from a list server, but for pausemonitor.MaxStale at most.
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

// unreadFor returns how long a message that was read at readAt may have been in a buffer while the process did
// not run. Its time to live went on during that time.
func (n *Node) unreadFor(readAt time.Time) time.Duration {
	if n.audit == nil {
		return 0
	}
	return n.audit.pauses.UnreadFor(n.clockAt(readAt))
}

// statusReportResult is the outcome of a status report to the list service.
type statusReportResult struct {
	err           error
	serverClockMS int64 // Unix time; 0 if the server did not send its clock
	ended         time.Time
	took          time.Duration
}

// newAudit starts to report, or returns nil if audit is not configured.
func (n *Node) newAudit(ownerCtx context.Context) *audit {
	if n.cfg.Audit == nil || n.cfg.Registry == nil {
		return nil
	}
	path := filepath.Join(n.cfg.StateDir, processIncarnationFile)
	last, err := readIncarnation(path)
	if err != nil {
		n.log.Warn("lives_unreadable", "err", err)
		last = uint32(time.Now().Unix()) // larger than any number of starts could be
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

// buildRevision returns the first 12 digits of the VCS revision that this program was built from, or "unknown".
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

// configDigest returns a digest of the configuration that all nodes of the fleet share. It leaves out the
// node's own number.
func configDigest(c config.Config) string {
	c.Delivery.Number = 0
	raw, err := json.Marshal([]any{c.Delivery, c.Limits, c.Registry, c.Membership, c.Audit})
	if err != nil {
		return "unknown"
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:6])
}

// ready reports whether the node accepts messages: it has a list, is not fenced, and has the required build and
// configuration.
func (n *Node) ready() bool {
	return (n.startup == nil || n.startup.Ready()) && !n.staleness.fenced() && !n.belowFloor
}

// listVersion returns the list revision and the process incarnation that a call is based on, for a request
// header. It is empty if audit is off.
func (n *Node) listVersion() string {
	if n.audit == nil {
		return ""
	}
	return fmt.Sprintf("%d.%d", n.listRevision, n.audit.incarnation)
}

// untilDue returns the time until the next status report or check for a pause.
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

// reportStatus sends a status report to the list service if one is due.
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
		clock, err := postStatus(addrCtx, n.postClient, addr, status)
		if err != nil {
			n.log.Debug("claim_not_taken", "addr", addr, "err", err)
		}
		ended := time.Now()
		n.enqueue(a.ownerCtx, statusReportResult{err, clock, ended, ended.Sub(began)})
	})
}

// close waits for status reports in progress, which end because ownerCtx is done, and closes the audit log.
func (a *audit) close(log *slog.Logger) {
	if a == nil {
		return
	}
	a.posts.Wait()
	if err := a.record.close(); err != nil {
		log.Warn("acts_not_closed", "err", err)
	}
}

// statusReported processes the outcome of a status report. After a failure the next report goes to the next
// server.
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

// postStatus sends a status report and returns the Unix time in milliseconds that the server's clock showed
// when it answered, or 0 if the server did not say.
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
		clock = 0 // the server runs a build that does not send its clock
	}
	return clock, nil
}

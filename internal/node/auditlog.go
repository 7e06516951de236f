package node

import (
	"fmt"
	"io"
	"log/slog"
	"time"

	"harrierramp/internal/auditlog"
	"harrierramp/internal/egress"
	"harrierramp/internal/metrics"
)

// auditLog records which calls the node makes on the basis of which list revision, before they are made, and
// how they ended. The loop owns it. A nil *auditLog records nothing.
type auditLog struct {
	file       *auditlog.Log
	log        *slog.Logger
	metrics    *metrics.Set
	now        func() time.Time
	seq        int64
	entry      auditlog.Entry // of the current step
	lastReason *string        // the last one that was written
}

// newAuditLog opens the audit log in the state folder and appends to it. If that fails the node works without
// one.
func (n *Node) newAuditLog(incarnation uint32) *auditLog {
	maxBytes := n.cfg.Audit.RecordSize.Bytes()
	if maxBytes == 0 {
		return nil
	}
	// Advances with the monotonic clock, so that setting the wall clock does not move it.
	now := func() time.Time { return n.processStart.Add(time.Since(n.processStart)) }
	r, err := auditlog.Open(n.cfg.StateDir, maxBytes, auditlog.Header{Node: n.cfg.Name, Incarnation: incarnation, Build: buildRevision()}, now)
	if err != nil {
		n.log.Warn("acts_not_kept", "err", err)
		return nil
	}
	return &auditLog{file: r, log: n.log, metrics: n.metrics, now: now}
}

// callStarted records a call that is about to be made and returns its sequence number.
func (a *auditLog) callStarted(endpoint string) int64 {
	if a == nil {
		return 0
	}
	a.seq++
	a.entry.Starts = append(a.entry.Starts, auditlog.CallStart{Seq: a.seq, Endpoint: endpoint})
	return a.seq
}

// callEnded records how a call ended.
func (a *auditLog) callEnded(seq int64, r egress.Result) {
	if a == nil || seq == 0 {
		return
	}
	e := auditlog.CallEnd{Seq: seq, Outcome: auditlog.OutcomeUnsent}
	if !r.WriteEnd.IsZero() {
		if e.Outcome = auditlog.OutcomeUnknown; r.ResponseRead {
			e.Outcome = auditlog.OutcomeAnswered
		}
		e.WriteStartMS, e.WriteTookMS = a.wallMillis(r.WriteStart), r.WriteEnd.Sub(r.WriteStart).Milliseconds()
	}
	a.entry.Ends = append(a.entry.Ends, e)
}

// noteServerClock records the reading of a list server's clock from a status report.
func (a *auditLog) noteServerClock(e statusReportResult) {
	if a != nil {
		a.entry.ClockSync = &auditlog.ClockSync{ServerMS: e.serverClockMS, EndedMS: a.wallMillis(e.ended), TookMS: e.took.Milliseconds()}
	}
}

// wallMillis converts a time to the clock of the audit log, as Unix time in milliseconds.
func (a *auditLog) wallMillis(at time.Time) int64 { return a.now().Add(-time.Since(at)).UnixMilli() }

// flush writes the entry of the step, before any of the step's calls is made. A failed write loses no message:
// it is counted, and the log states later how many entries are missing.
func (a *auditLog) flush(revision int64, reason *string) {
	if a == nil {
		return
	}
	if reason != a.lastReason && reason != nil {
		a.entry.StaleReason = *reason
	}
	l := a.entry
	if len(l.Starts) == 0 && len(l.Ends) == 0 && l.ClockSync == nil && l.StaleReason == "" {
		return
	}
	if len(l.Starts) > 0 {
		l.Revision = revision
	}
	if a.lastReason, a.entry = reason, (auditlog.Entry{}); a.file.Write(l) != nil {
		a.metrics.AuditRecordsLost.Add(1)
	}
}

func (a *auditLog) close() error {
	if a == nil {
		return nil
	}
	return a.file.Close()
}

// WriteAuditRecord writes the audit log as it is on disk to w. It may be called from any goroutine.
func (n *Node) WriteAuditRecord(w io.Writer) error {
	raw, err := auditlog.ReadDir(n.cfg.StateDir)
	if err != nil {
		return err
	}
	if _, err := w.Write(raw); err != nil {
		return fmt.Errorf("audit log: %w", err)
	}
	return nil
}

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

// actsRecord writes down what the node does by which list: calls before they are made, and how they have ended. The loop
// owns it; nil where none is kept.
type auditLog struct {
	file       *auditlog.Log
	log        *slog.Logger
	metrics    *metrics.Set
	now        func() time.Time
	seq        int64
	entry      auditlog.Entry // of the step
	lastReason *string        // that was last written
}

// newActs goes on with the record in the folder. Without one that can be written the node goes on all the same.
func (n *Node) newAuditLog(incarnation uint32) *auditLog {
	maxBytes := n.cfg.Audit.RecordSize.Bytes()
	if maxBytes == 0 {
		return nil
	}
	now := func() time.Time { return n.processStart.Add(time.Since(n.processStart)) } // the wall clock may be set, this can't
	r, err := auditlog.Open(n.cfg.StateDir, maxBytes, auditlog.Header{Node: n.cfg.Name, Incarnation: incarnation, Build: buildRevision()}, now)
	if err != nil {
		n.log.Warn("acts_not_kept", "err", err)
		return nil
	}
	return &auditLog{file: r, log: n.log, metrics: n.metrics, now: now}
}

// begun notes a call that is about to be made, and returns its number.
func (a *auditLog) callStarted(endpoint string) int64 {
	if a == nil {
		return 0
	}
	a.seq++
	a.entry.Starts = append(a.entry.Starts, auditlog.CallStart{Seq: a.seq, Endpoint: endpoint})
	return a.seq
}

// ended notes how a call has ended.
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

// clock notes what a list server's clock showed in an exchange.
func (a *auditLog) noteServerClock(e statusReportResult) {
	if a != nil {
		a.entry.ClockSync = &auditlog.ClockSync{ServerMS: e.serverClockMS, EndedMS: a.wallMillis(e.ended), TookMS: e.took.Milliseconds()}
	}
}

// wall is a moment by the record's clock, in milliseconds.
func (a *auditLog) wallMillis(at time.Time) int64 { return a.now().Add(-time.Since(at)).UnixMilli() }

// flush writes the step's line down, before any of its calls is made. A record that can't be written costs no message: it
// says later how much of it is missing.
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

// Acts writes the record of acts as it stands. It may be called from any goroutine.
func (n *Node) WriteAuditRecord(w io.Writer) error {
	raw, err := auditlog.ReadDir(n.cfg.StateDir)
	if err != nil {
		return err
	}
	if _, err := w.Write(raw); err != nil {
		return fmt.Errorf("acts: %w", err)
	}
	return nil
}

package node

import (
	"fmt"
	"io"
	"log/slog"
	"time"

	"harrierramp/internal/acts"
	"harrierramp/internal/egress"
	"harrierramp/internal/metrics"
)

// actsRecord writes down what the node does by which list: calls before they are made, and how they have ended. The loop
// owns it; nil where none is kept.
type actsRecord struct {
	r       *acts.Record
	log     *slog.Logger
	figures *metrics.Set
	now     func() time.Time
	seq     int64
	line    acts.Line // of the step
	why     *string   // that was last written
}

// newActs goes on with the record in the folder. Without one that can be written the node goes on all the same.
func (n *Node) newActs(life uint32) *actsRecord {
	room := n.cfg.Audit.RecordSize.Bytes()
	if room == 0 {
		return nil
	}
	now := func() time.Time { return n.began.Add(time.Since(n.began)) } // the wall clock may be set, this can't
	r, err := acts.Open(n.cfg.StateDir, room, acts.Head{Node: n.cfg.Name, Life: life, Build: build()}, now)
	if err != nil {
		n.log.Warn("acts_not_kept", "err", err)
		return nil
	}
	return &actsRecord{r: r, log: n.log, figures: n.figures, now: now}
}

// begun notes a call that is about to be made, and returns its number.
func (a *actsRecord) begun(endpoint string) int64 {
	if a == nil {
		return 0
	}
	a.seq++
	a.line.Begun = append(a.line.Begun, acts.Begun{Seq: a.seq, Endpoint: endpoint})
	return a.seq
}

// ended notes how a call has ended.
func (a *actsRecord) ended(seq int64, r egress.Result) {
	if a == nil || seq == 0 {
		return
	}
	e := acts.Ended{Seq: seq, How: acts.Unsent}
	if !r.Wrote.IsZero() {
		if e.How = acts.Unsure; r.Heard {
			e.How = acts.Answered
		}
		e.FromMS, e.TookMS = a.wall(r.Writing), r.Wrote.Sub(r.Writing).Milliseconds()
	}
	a.line.Ended = append(a.line.Ended, e)
}

// clock notes what a list server's clock showed in an exchange.
func (a *actsRecord) clock(e claimed) {
	if a != nil {
		a.line.Sync = &acts.Sync{ServerMS: e.clock, EndedMS: a.wall(e.ended), TookMS: e.took.Milliseconds()}
	}
}

// wall is a moment by the record's clock, in milliseconds.
func (a *actsRecord) wall(at time.Time) int64 { return a.now().Add(-time.Since(at)).UnixMilli() }

// flush writes the step's line down, before any of its calls is made. A record that can't be written costs no message: it
// says later how much of it is missing.
func (a *actsRecord) flush(revision int64, why *string) {
	if a == nil {
		return
	}
	if why != a.why && why != nil {
		a.line.Why = *why
	}
	l := a.line
	if len(l.Begun) == 0 && len(l.Ended) == 0 && l.Sync == nil && l.Why == "" {
		return
	}
	if len(l.Begun) > 0 {
		l.List = revision
	}
	if a.why, a.line = why, (acts.Line{}); a.r.Write(l) != nil {
		a.figures.AuditRecordsLost.Add(1)
	}
}

func (a *actsRecord) close() error {
	if a == nil {
		return nil
	}
	return a.r.Close()
}

// Acts writes the record of acts as it stands. It may be called from any goroutine.
func (n *Node) WriteAuditRecord(w io.Writer) error {
	raw, err := acts.ReadDir(n.cfg.StateDir)
	if err != nil {
		return err
	}
	if _, err := w.Write(raw); err != nil {
		return fmt.Errorf("acts: %w", err)
	}
	return nil
}

package stage

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"harrierramp/internal/auditlog"
	"harrierramp/internal/lab/process"
	"harrierramp/internal/lab/relay"
)

// auditSlack is what a relay and a busy machine may add between a node's write and a partner's look at the clock.
const auditSlack = 300 * time.Millisecond

// Audit holds the nodes' own records of acts, as they stand in their folders, against what the list servers remember.
func (st *Stage) Audit() (auditlog.Report, error) {
	var best auditlog.History
	var errs []error
	for i := range st.servers {
		var h auditlog.History
		raw, err := httpGet("http://" + process.HostPort(st.addrs.OwnAddr(relay.Party{Kind: relay.Server, Index: i}), process.ListPort) + "/registry/history")
		if err == nil {
			err = json.Unmarshal(raw, &h)
		}
		if err != nil {
			errs = append(errs, err)
			continue
		}
		best = auditlog.MoreComplete(best, h)
	}
	if len(errs) == len(st.servers) {
		return auditlog.Report{}, fmt.Errorf("stage: no list server tells what it remembers: %w", errors.Join(errs...))
	}
	a := auditlog.Auditor{History: best, Grace: st.ledger.day.Settings.DrainTimeout + lateSlack, Slack: auditSlack}
	for i := range st.nodes {
		name := relay.Party{Kind: relay.Node, Index: i}.String()
		raw, err := auditlog.ReadDir(filepath.Join(st.dir, name))
		if err != nil {
			return auditlog.Report{}, fmt.Errorf("stage: %w", err)
		}
		a.Add(name, raw)
	}
	return a.Report(), nil
}

// auditEntry is what an audit and the ledger are held against each other by.
type auditKey struct {
	node        string
	incarnation uint32
	endpoint    string
	revision    int64
}

// compare holds what an audit has found against what partners have seen. Missed are late calls that it neither found nor
// told as unsure; false ones it found that were not so. Nodes' records that it told as unreadable, or lives without a clock,
// are excused: it says that it does not know.
func compareAudit(late []LateCalls, r auditlog.Report) (missed, wrong int, text []string) {
	unknown := map[string]bool{}
	for _, u := range r.Unknown {
		unknown[fmt.Sprint(u.Node, " ", u.Incarnation)] = true
	}
	found := map[auditKey]auditlog.Finding{}
	for _, f := range r.Findings {
		k := auditKey{f.Node, f.Incarnation, f.Endpoint, f.Revision}
		sum := found[k]
		sum.LateCalls, sum.UnsureCalls = sum.LateCalls+f.LateCalls, sum.UnsureCalls+f.UnsureCalls
		found[k] = sum
	}
	for _, l := range late {
		k := auditKey{relay.Party{Kind: relay.Node, Index: l.Node}.String(), l.Incarnation, l.Endpoint, l.Revision}
		f := found[k]
		delete(found, k)
		if unknown[fmt.Sprint(k.node, " ", k.incarnation)] || unknown[fmt.Sprint(k.node, " ", 0)] {
			continue
		}
		if l.Count > f.LateCalls+f.UnsureCalls {
			missed += l.Count - f.LateCalls - f.UnsureCalls
			text = append(text, fmt.Sprintf("%+v: %d calls are late, the audit has %d, and %d that it is unsure of", k, l.Count, f.LateCalls, f.UnsureCalls))
		}
		if f.LateCalls > l.Count {
			wrong += f.LateCalls - l.Count
			text = append(text, fmt.Sprintf("%+v: %d calls are late, the audit has %d", k, l.Count, f.LateCalls))
		}
	}
	for k, f := range found {
		if f.LateCalls > 0 {
			wrong += f.LateCalls
			text = append(text, fmt.Sprintf("%+v: no call is late, the audit has %d", k, f.LateCalls))
		}
	}
	slices.Sort(text)
	return missed, wrong, text
}

// holdAudit puts into a report how the nodes' records stand against the ledger.
func (st *Stage) reportAudit(r *Report) {
	found, err := st.Audit()
	if err != nil {
		r.Missed = append(r.Missed, err.Error())
		return
	}
	missed, wrong, text := compareAudit(r.LateCalls, found)
	f := r.Figures
	f["audit_missed"], f["audit_wrong"] = float64(missed), float64(wrong)
	f["audit_calls"], f["audit_unknown"] = float64(found.Calls), float64(len(found.Unknown))
	for _, x := range found.Findings {
		f["audit_late"] += float64(x.LateCalls)
		f["audit_unsure"] += float64(x.UnsureCalls)
	}
	r.Audit, r.AuditDifferences = &found, text
}

func sortLateCalls(all []LateCalls) {
	slices.SortFunc(all, func(a, b LateCalls) int {
		return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Revision, b.Revision))
	})
}

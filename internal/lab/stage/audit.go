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

// auditSlack bounds the delay that a relay and a busy machine add between a node's write of a call and the time that
// the partner records for it.
const auditSlack = 300 * time.Millisecond

// Audit checks the audit logs in the nodes' state folders against the list history that the list servers keep.
func (st *Stage) Audit() (auditlog.Report, error) {
	var history auditlog.History
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
		history = auditlog.MoreComplete(history, h)
	}
	if len(errs) == len(st.servers) {
		return auditlog.Report{}, fmt.Errorf("stage: no list server returned its list history: %w", errors.Join(errs...))
	}
	a := auditlog.Auditor{History: history, Grace: st.ledger.day.Settings.DrainTimeout + lateSlack, Slack: auditSlack}
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

// auditKey identifies a group of calls when the audit's findings are compared with the ledger.
type auditKey struct {
	node        string
	incarnation uint32
	endpoint    string
	revision    int64
}

// compareAudit compares the findings of an audit with the late calls that partners recorded. missed counts late calls
// that the audit reported neither as late nor as unsure; wrong counts calls that it reported as late but that were not.
// Nodes and incarnations that the audit reports as unknown, because their log is unreadable or has no clock reading,
// are skipped.
func compareAudit(late []LateCalls, r auditlog.Report) (missed, wrong int, differences []string) {
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
			differences = append(differences, fmt.Sprintf("%+v: %d calls were late, the audit reports %d late and %d unsure", k, l.Count, f.LateCalls, f.UnsureCalls))
		}
		if f.LateCalls > l.Count {
			wrong += f.LateCalls - l.Count
			differences = append(differences, fmt.Sprintf("%+v: %d calls were late, the audit reports %d", k, l.Count, f.LateCalls))
		}
	}
	for k, f := range found {
		if f.LateCalls > 0 {
			wrong += f.LateCalls
			differences = append(differences, fmt.Sprintf("%+v: no call was late, the audit reports %d", k, f.LateCalls))
		}
	}
	slices.Sort(differences)
	return missed, wrong, differences
}

// reportAudit adds the result of the nodes' audit logs to a report, with the differences from the ledger.
func (st *Stage) reportAudit(r *Report) {
	found, err := st.Audit()
	if err != nil {
		r.Missed = append(r.Missed, err.Error())
		return
	}
	missed, wrong, differences := compareAudit(r.LateCalls, found)
	f := r.Figures
	f["audit_missed"], f["audit_wrong"] = float64(missed), float64(wrong)
	f["audit_calls"], f["audit_unknown"] = float64(found.Calls), float64(len(found.Unknown))
	for _, finding := range found.Findings {
		f["audit_late"] += float64(finding.LateCalls)
		f["audit_unsure"] += float64(finding.UnsureCalls)
	}
	r.Audit, r.AuditDifferences = &found, differences
}

func sortLateCalls(all []LateCalls) {
	slices.SortFunc(all, func(a, b LateCalls) int {
		return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Revision, b.Revision))
	})
}

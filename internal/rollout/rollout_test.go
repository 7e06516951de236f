package rollout

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const s = time.Second

func newReport(name string, incarnation, seq, revision int64) Report {
	return Report{Name: name, Incarnation: incarnation, Seq: seq, Revision: revision, Build: "b", Config: "c", Ready: true}
}

// The table follows a revision through the fleet: which nodes have it, which are behind and since when, and how long
// it took.
func TestTableTracksRevisionThroughFleet(t *testing.T) {
	x := NewTable()
	x.Advance(0, 10)
	for i := range 4 {
		if err := x.Apply(s, newReport(fmt.Sprint("n", i), 1, 1, 10)); err != nil {
			t.Fatal(err)
		}
	}
	x.Advance(10*s, 11)
	x.Advance(12*s, 12)
	for i, at := range []time.Duration{11 * s, 13 * s, 20 * s} {
		if err := x.Apply(at, newReport(fmt.Sprint("n", i), 1, 2, 11)); err != nil {
			t.Fatal(err)
		}
	}
	v := x.Snapshot(30 * s)
	if c := v.Revisions[1]; c.Revision != 11 || c.Nodes != 4 || c.Applied != 3 || c.HalfMS != 3000 || c.AllMS != -1 || c.AgeMS != 20_000 {
		t.Errorf("%+v", c)
	}
	if v.Nodes[0].BehindMS != 18_000 || v.Nodes[3].BehindMS != 20_000 || v.Head != 12 {
		t.Errorf("%+v", v.Nodes)
	}
	if nodes, behind, silent, oldest := x.Counts(30 * s); nodes != 4 || behind != 4 || silent != 0 || oldest != 10 {
		t.Errorf("%d nodes, %d behind, %d silent, oldest %d", nodes, behind, silent, oldest)
	}
	if v := x.Snapshot(s + SilentAfter + 1); !v.Nodes[3].Silent || v.Nodes[0].Silent {
		t.Errorf("%+v", v.Nodes)
	}
}

func TestInvalidReportsAreRejected(t *testing.T) {
	x := NewTable()
	x.Advance(0, 10)
	if err := x.Apply(0, newReport("n", 5, 5, 9)); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		c    Report
		want error
	}{
		"a revision that does not exist": {newReport("m", 1, 1, 11), ErrInvalid},
		"no name":                        {newReport("", 1, 1, 1), ErrInvalid},
		"a long name":                    {newReport(strings.Repeat("x", 65), 1, 1, 1), ErrInvalid},
		"a name with a line feed":        {newReport("a\nb", 1, 1, 1), ErrInvalid},
		"no incarnation":                 {newReport("m", 0, 1, 1), ErrInvalid},
		"no sequence number":             {newReport("m", 1, 0, 1), ErrInvalid},
		"a negative revision":            {newReport("m", 1, 1, -1), ErrInvalid},
		"an earlier incarnation":         {newReport("n", 4, 9, 10), ErrStale},
		"the same report again":          {newReport("n", 5, 5, 10), ErrStale},
		"an earlier report":              {newReport("n", 5, 4, 10), ErrStale},
	} {
		if err := x.Apply(s, c.c); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if x.Rejected != 10 || len(x.Snapshot(s).Nodes) != 1 {
		t.Errorf("%d rejected, %+v", x.Rejected, x.Snapshot(s).Nodes)
	}
}

// A flood of new names must not grow the table beyond its limit. A row that has been silent for a day makes room for
// a new name.
func TestTableSizeIsBounded(t *testing.T) {
	x := NewTable()
	x.Advance(0, 1)
	for i := range MaxNodes + 100 {
		if err := x.Apply(0, newReport(fmt.Sprint("n", i), 1, 1, 1)); (err != nil) != (i >= MaxNodes) {
			t.Fatalf("report %d: %v", i, err)
		}
	}
	for r := range int64(3 * maxTrackedRevisions) {
		x.Advance(s, r+2)
	}
	if v := x.Snapshot(s); len(v.Nodes) != MaxNodes || len(v.Revisions) != maxTrackedRevisions {
		t.Errorf("%d nodes, %d revisions", len(v.Nodes), len(v.Revisions))
	}
	if err := x.Apply(2*evictAfter, newReport("late", 1, 1, 1)); err != nil {
		t.Error(err)
	}
}

// The tables of several servers must merge to the same result in any order, and the latest report must win whatever
// the clocks say.
func TestMergeKeepsLatestReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{NewTable(), NewTable(), NewTable()}
		want := map[string]Report{}
		for _, x := range tables {
			x.Advance(0, rapid.Int64Range(50, 60).Draw(t, "head"))
		}
		for range rapid.IntRange(0, 60).Draw(t, "claims") {
			c := newReport(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Int64Range(1, 3).Draw(t, "incarnation"),
				rapid.Int64Range(1, 9).Draw(t, "seq"), rapid.Int64Range(0, 50).Draw(t, "revision"))
			if tables[rapid.IntRange(0, 2).Draw(t, "server")].Apply(s, c) == nil {
				if old := want[c.Name]; c.Incarnation > old.Incarnation || c.Incarnation == old.Incarnation && c.Seq > old.Seq {
					want[c.Name] = c
				}
			}
		}
		views := []Snapshot{tables[0].Snapshot(s), tables[1].Snapshot(s), tables[2].Snapshot(s)}
		merged, reordered := Merge(views), Merge([]Snapshot{views[2], views[0], views[1]})
		if len(merged.Nodes) != len(want) {
			t.Fatalf("%d nodes of %d", len(merged.Nodes), len(want))
		}
		for i, r := range merged.Nodes {
			if c := want[r.Name]; r.Incarnation != c.Incarnation || r.Seq != c.Seq || reordered.Nodes[i].Seq != r.Seq {
				t.Fatalf("%+v, and the latest is %+v", r.Report, c)
			}
			if (r.Revision < merged.Head) != (r.BehindMS > 0) {
				t.Fatalf("%+v with head %d", r, merged.Head)
			}
		}
	})
}

// The cost of reporting must not depend on how often the list changes. A change is reported within about two seconds;
// at rest a node reports about once per minute.
func TestReportRateIsIndependentOfChangeRate(t *testing.T) {
	for _, c := range []struct {
		name        string
		every       time.Duration // between changes
		least, most float64       // reports per node and minute
	}{{"at rest", time.Hour, 0.8, 1.5}, {"a change a second", time.Second, 20, 60}, {"a change in 10 ms", 10 * time.Millisecond, 20, 60}} {
		rng := rand.New(rand.NewPCG(1, 1))
		const nodes, minutes = 50, 10
		reports, maxDelay := 0, time.Duration(0)
		var reporters []*Reporter
		for i := range nodes {
			reporters = append(reporters, NewReporter(0, newReport(fmt.Sprint(i), 1, 0, 1), rng))
		}
		changed, revision := time.Duration(0), int64(1)
		for now := time.Duration(0); now < minutes*time.Minute; now += 10 * time.Millisecond {
			if now-changed >= c.every {
				changed = now
				revision++
			}
			for _, x := range reporters {
				x.Update(now, revision, true, false, "")
				if _, ok := x.Next(now); ok {
					reports++
					maxDelay = max(maxDelay, now-changed)
					x.Done(now, true)
				}
			}
		}
		if rate := float64(reports) / nodes / minutes; rate < c.least || rate > c.most {
			t.Errorf("%s: %.1f reports per node and minute", c.name, rate)
		}
	}
}

// A report that no server accepts is sent again, with delays that grow to a limit, and always with the latest state.
func TestRejectedReportIsRetried(t *testing.T) {
	x := NewReporter(0, newReport("n", 1, 0, 1), rand.New(rand.NewPCG(1, 1)))
	tries, last := 0, int64(0)
	for now := time.Duration(0); now < 5*time.Minute; now += 10 * time.Millisecond {
		x.Update(now, int64(now/time.Second)+1, true, false, "a cut")
		if c, ok := x.Next(now); ok {
			if tries++; c.Revision != int64(now/time.Second)+1 || c.Seq <= last || c.LagReason != "a cut" && tries > 1 {
				t.Fatalf("%+v at %v", c, now)
			}
			last = c.Seq
			x.Done(now, false)
		}
	}
	if tries < 8 || tries > 30 {
		t.Errorf("%d attempts in five minutes", tries)
	}
}

// BenchmarkTable measures a full table: memory per row, and the time of a report.
func BenchmarkTable(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	x := NewTable()
	x.Advance(0, 1<<20)
	names := make([]string, MaxNodes)
	for i := range names {
		names[i] = fmt.Sprint("node-", i)
		if err := x.Apply(0, Report{Name: names[i], Incarnation: 1, Seq: 1, Revision: 1, Build: "0c1f30d27a5b", Config: "8c1f30d27a5b", AdminAddr: "127.0.0.1:9090"}); err != nil {
			b.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for i := int64(0); b.Loop(); i++ {
		if err := x.Apply(s, Report{Name: names[i%MaxNodes], Incarnation: 1, Seq: 2 + i, Revision: 1 + i%1000, Build: "0c1f30d27a5b"}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/MaxNodes, "bytes/row")
}

package auditlog

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fakeClock is a clock that a test sets.
type fakeClock struct{ at time.Time }

func (c *fakeClock) now() time.Time { return c.at }

func openLog(t testing.TB, dir string, maxBytes int64, incarnation uint32, c *fakeClock) *Log {
	t.Helper()
	r, err := Open(dir, maxBytes, Header{Node: "n", Incarnation: incarnation}, c.now)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func readBack(t testing.TB, dir string) ([]Entry, int) {
	t.Helper()
	raw, err := ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	lines, damaged, err := Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	return lines, damaged
}

// After a kill the log must be readable: a log that was never closed, with an incomplete entry at its end, and with
// what the next process writes after it.
func TestLogSurvivesKill(t *testing.T) {
	dir, c := t.TempDir(), &fakeClock{time.UnixMilli(1_000_000)}
	r := openLog(t, dir, 1<<20, 1, c)
	want := []Entry{
		{Revision: 7, Starts: []CallStart{{1, "e-1"}, {2, "e-2"}}},
		{Ends: []CallEnd{{Seq: 1, Outcome: OutcomeAnswered, WriteStartMS: 1_000_003, WriteTookMS: 1}}, StaleReason: "a cut", ClockSync: &ClockSync{1_000_010, 1_000_000, 4}},
	}
	for i := range want {
		if err := r.Write(want[i]); err != nil {
			t.Fatal(err)
		}
		want[i].AtMS = 1_000_000
	}
	path := filepath.Join(dir, CurrentName)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for cut := range len(whole) - strings.LastIndex(strings.TrimSpace(string(whole)), "\n") - 2 {
		if err := os.WriteFile(path, whole[:len(whole)-cut], 0o600); err != nil {
			t.Fatal(err)
		}
		openLog(t, dir, 1<<20, 2, c).Close()
		lines, damaged := readBack(t, dir)
		kept := lines[1 : len(lines)-1]
		if cut <= 1 && (damaged != 0 || !reflect.DeepEqual(kept, want)) || cut > 1 && (damaged != 1 || !reflect.DeepEqual(kept, want[:1])) {
			t.Fatalf("%d bytes missing: %d damaged, %+v", cut, damaged, kept)
		}
		if h := lines[len(lines)-1].Header; h == nil || h.Incarnation != 2 {
			t.Fatalf("%d bytes missing: the next process's header is %+v", cut, lines[len(lines)-1])
		}
	}
}

// However much is written, the files must stay within their limit, each must be readable by itself, and the latest
// entries must be kept.
func TestLogSizeIsBounded(t *testing.T) {
	dir, c := t.TempDir(), &fakeClock{time.Now()}
	const maxBytes = 32 << 10
	r := openLog(t, dir, maxBytes, 3, c)
	for i := range 5000 {
		if err := r.Write(Entry{Revision: 1, Starts: []CallStart{{int64(i), "endpoint"}}}); err != nil {
			t.Fatal(err)
		}
	}
	lines, damaged := readBack(t, dir)
	if last := lines[len(lines)-1]; damaged != 0 || len(last.Starts) != 1 || last.Starts[0].Seq != 4999 || lines[0].Header == nil {
		t.Errorf("%d damaged, first %+v, last %+v", damaged, lines[0], last)
	}
	size := int64(0)
	for _, name := range []string{CurrentName, PreviousName} {
		info, err := os.Stat(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		size += info.Size()
	}
	if size > maxBytes+512 || size < maxBytes/2 {
		t.Errorf("%d bytes, limit %d", size, maxBytes)
	}
	r.Close()
	c.at = c.at.Add(MaxAge + time.Hour)
	openLog(t, dir, maxBytes, 4, c).Close()
	if _, err := os.Stat(filepath.Join(dir, PreviousName)); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the previous file still exists: %v", err)
	}
}

// An entry that can't be written is lost, and the next one must say so.
func TestFailedWritesAreCounted(t *testing.T) {
	dir, c := t.TempDir(), &fakeClock{time.Now()}
	r := openLog(t, dir, 1<<20, 1, c)
	good := r.file
	bad, err := os.Open(filepath.Join(dir, CurrentName)) // read-only
	if err != nil {
		t.Fatal(err)
	}
	r.file = bad
	for range 2 {
		if r.Write(Entry{StaleReason: "x"}) == nil {
			t.Fatal("the write succeeded")
		}
	}
	bad.Close()
	r.file = good
	if err := r.Write(Entry{StaleReason: "y"}); err != nil {
		t.Fatal(err)
	}
	if lines, _ := readBack(t, dir); len(lines) != 2 || lines[1].LostEntries != 2 {
		t.Errorf("%+v", lines)
	}
}

func TestUnreadableLogsAreReported(t *testing.T) {
	newer, err := Entry{Header: &Header{Format: Format + 1, Node: "n", Incarnation: 1}}.appendEncoded(nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		raw  string
		want error
	}{"a later form": {string(newer), ErrNewer}, "nothing": {"", ErrNoHeader}, "noise": {"deadbeef{}\nxx\n", ErrNoHeader}} {
		if _, _, err := Parse([]byte(c.raw)); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", name, err)
		}
		var a Auditor
		a.Add("n", []byte(c.raw))
		if r := a.Report(); len(r.Unknown) != 1 || len(r.Findings) != 0 {
			t.Errorf("%s: %+v", name, r)
		}
	}
}

// simulation is a fleet with clocks hours apart, in which endpoints come and go, and the calls that are really late.
type simulation struct {
	history   History
	lateCalls map[callKey]int
	records   map[string][]byte
}

type callKey struct {
	node     string
	endpoint string
	revision int64
}

func simulateFleet(rng *rand.Rand, nodes, calls int, grace int64) simulation {
	w := simulation{lateCalls: map[callKey]int{}, records: map[string][]byte{}}
	type state struct {
		gone  int64 // when it was withdrawn; 0 if it is serving
		known bool
	}
	endpoints := map[string]*state{}
	var names []string
	for i := range 5 {
		names = append(names, fmt.Sprint("e", i))
		endpoints[names[i]] = &state{}
	}
	lines := map[string][]Entry{}
	offset, knownRevision, seq := map[string]int64{}, map[string]int64{}, int64(0)
	for i := range nodes {
		n := fmt.Sprint("n", i)
		offset[n], knownRevision[n] = rng.Int64N(10*3600_000)-5*3600_000, 1
		lines[n] = []Entry{{Header: &Header{Format: Format, Node: n, Incarnation: 1}}}
	}
	w.history = History{Floor: 1, Head: 1}
	for now := int64(50_000_000_000); calls > 0; now += 10 + rng.Int64N(200) {
		if rng.IntN(6) == 0 {
			id := names[rng.IntN(len(names))]
			e, phase := endpoints[id], "DELETED"
			if w.history.Head++; e.gone != 0 {
				e.gone, phase = 0, phaseServing
			} else {
				e.gone = now
			}
			w.history.Changes = append(w.history.Changes, Change{w.history.Head, now, id, phase})
		}
		n := fmt.Sprint("n", rng.IntN(nodes))
		at := now + offset[n]
		if rng.IntN(3) == 0 {
			knownRevision[n] = w.history.Head
		}
		if rng.IntN(4) == 0 {
			lines[n] = append(lines[n], Entry{AtMS: at + rng.Int64N(3000), ClockSync: &ClockSync{now - rng.Int64N(20), at, 20}})
		}
		id := names[rng.IntN(len(names))]
		how := []Outcome{OutcomeAnswered, OutcomeAnswered, OutcomeAnswered, OutcomeAnswered, OutcomeAnswered, OutcomeUnknown, OutcomeUnsent}[rng.IntN(7)]
		seq++
		calls--
		lines[n] = append(lines[n], Entry{AtMS: at, Revision: knownRevision[n], Starts: []CallStart{{seq, id}}})
		if rng.IntN(20) > 0 {
			lines[n] = append(lines[n], Entry{AtMS: at + 5, Ends: []CallEnd{{seq, how, at, 2}}})
		} else if how = OutcomeUnknown; rng.IntN(2) == 0 {
			how = OutcomeAnswered // the process was killed in between
		}
		if gone := endpoints[id].gone; how != OutcomeUnsent && gone != 0 && now > gone+grace {
			w.lateCalls[callKey{n, id, knownRevision[n]}]++
		}
	}
	for n, all := range lines {
		for _, l := range all {
			w.records[n], _ = l.appendEncoded(w.records[n])
		}
	}
	return w
}

// Whatever the clocks say, the audit must find no call that was not late, and must miss no late call except those
// that it reports as unsure.
func TestAuditMatchesSimulatedCalls(t *testing.T) {
	const grace, nodes = 1000, 6
	found, unsure := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := simulateFleet(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), nodes, 400, grace)
		a := Auditor{History: w.history, Grace: grace * time.Millisecond, Slack: 30 * time.Millisecond}
		for n, raw := range w.records {
			a.Add(n, raw)
		}
		r := a.Report()
		got := map[callKey][2]int{}
		for _, f := range r.Findings {
			k := callKey{f.Node, f.Endpoint, f.Revision}
			sum := got[k]
			got[k] = [2]int{sum[0] + f.LateCalls, sum[1] + f.UnsureCalls}
			found, unsure = found+f.LateCalls, unsure+f.UnsureCalls
		}
		unknown := map[string]bool{}
		for _, u := range r.Unknown {
			unknown[u.Node] = true
		}
		for k, n := range w.lateCalls {
			if g := got[k]; !unknown[k.node] && (g[0] > n || g[0]+g[1] < n) {
				t.Fatalf("%+v: %d late calls, the audit found %d and is unsure of %d", k, n, g[0], g[1])
			}
		}
		for k, g := range got {
			if g[0] > w.lateCalls[k] {
				t.Fatalf("%+v: %d late calls, the audit found %d", k, w.lateCalls[k], g[0])
			}
		}
	})
	if found == 0 || unsure > found {
		t.Errorf("%d found, %d unsure", found, unsure)
	}
}

// FuzzParse checks that no input panics, and that a damaged log never reads as an undamaged one.
func FuzzParse(f *testing.F) {
	good, err := Entry{Header: &Header{Format: Format, Node: "n", Incarnation: 1}, AtMS: 5}.appendEncoded(nil)
	if err != nil {
		f.Fatal(err)
	}
	good, _ = Entry{AtMS: 6, Revision: 7, Starts: []CallStart{{1, "e"}}}.appendEncoded(good)
	f.Add(good, 3, byte(1))
	f.Fuzz(func(t *testing.T, raw []byte, at int, flip byte) {
		Parse(raw)
		if len(raw) == 0 || flip == 0 {
			return
		}
		damagedLog := append([]byte(nil), good...)
		damagedLog[(at%len(good)+len(good))%len(good)] ^= flip
		lines, damaged, err := Parse(damagedLog)
		if err == nil && len(lines) == 2 && damaged == 0 {
			t.Errorf("a flipped byte is not detected: %q", damagedLog)
		}
	})
}

// BenchmarkWrite measures the cost of a call: an entry before it and an entry after it.
func BenchmarkWrite(b *testing.B) {
	r := openLog(b, b.TempDir(), 1<<20, 1, &fakeClock{time.Now()})
	defer r.Close()
	for i := int64(0); b.Loop(); i++ {
		if err := r.Write(Entry{Revision: 68719476740, Starts: []CallStart{{i, "partner-17"}}}); err != nil {
			b.Fatal(err)
		}
		if err := r.Write(Entry{Ends: []CallEnd{{Seq: i, Outcome: OutcomeAnswered, WriteStartMS: 1796169754000, WriteTookMS: 0}}}); err != nil {
			b.Fatal(err)
		}
	}
}

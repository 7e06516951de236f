package acts

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

// clock is a clock that a test moves.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func open(t testing.TB, dir string, most int64, life uint32, c *clock) *Record {
	t.Helper()
	r, err := Open(dir, most, Head{Node: "n", Life: life}, c.now)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func readBack(t testing.TB, dir string) ([]Line, int) {
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

// What was written is read again after a kill: of a process that never closed its record, with a line torn at its end,
// and what the next process writes behind that.
func TestARecordOutlastsAKill(t *testing.T) {
	dir, c := t.TempDir(), &clock{time.UnixMilli(1_000_000)}
	r := open(t, dir, 1<<20, 1, c)
	want := []Line{
		{List: 7, Begun: []Begun{{1, "e-1"}, {2, "e-2"}}},
		{Ended: []Ended{{Seq: 1, How: Answered, FromMS: 1_000_003, TookMS: 1}}, Why: "a cut", Sync: &Sync{1_000_010, 1_000_000, 4}},
	}
	for i := range want {
		if err := r.Write(want[i]); err != nil {
			t.Fatal(err)
		}
		want[i].AtMS = 1_000_000
	}
	path := filepath.Join(dir, NowName)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for cut := range len(whole) - strings.LastIndex(strings.TrimSpace(string(whole)), "\n") - 2 {
		if err := os.WriteFile(path, whole[:len(whole)-cut], 0o600); err != nil {
			t.Fatal(err)
		}
		open(t, dir, 1<<20, 2, c).Close()
		lines, damaged := readBack(t, dir)
		kept := lines[1 : len(lines)-1]
		if cut <= 1 && (damaged != 0 || !reflect.DeepEqual(kept, want)) || cut > 1 && (damaged != 1 || !reflect.DeepEqual(kept, want[:1])) {
			t.Fatalf("%d bytes cut: %d damaged, %+v", cut, damaged, kept)
		}
		if h := lines[len(lines)-1].Head; h == nil || h.Life != 2 {
			t.Fatalf("%d bytes cut: the next process's head is %+v", cut, lines[len(lines)-1])
		}
	}
}

// However much is written, the files stay within their bound, each can be read by itself, and the newest lines stand.
func TestARecordIsBounded(t *testing.T) {
	dir, c := t.TempDir(), &clock{time.Now()}
	const most = 32 << 10
	r := open(t, dir, most, 3, c)
	for i := range 5000 {
		if err := r.Write(Line{List: 1, Begun: []Begun{{int64(i), "endpoint"}}}); err != nil {
			t.Fatal(err)
		}
	}
	lines, damaged := readBack(t, dir)
	if last := lines[len(lines)-1]; damaged != 0 || len(last.Begun) != 1 || last.Begun[0].Seq != 4999 || lines[0].Head == nil {
		t.Errorf("%d damaged, first %+v, last %+v", damaged, lines[0], last)
	}
	size := int64(0)
	for _, name := range []string{NowName, BeforeName} {
		info, err := os.Stat(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		size += info.Size()
	}
	if size > most+512 || size < most/2 {
		t.Errorf("%d bytes, %d at most", size, most)
	}
	r.Close()
	c.at = c.at.Add(MostAge + time.Hour)
	open(t, dir, most, 4, c).Close()
	if _, err := os.Stat(filepath.Join(dir, BeforeName)); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the older part is still there: %v", err)
	}
}

// A line that can't be written is missing, and the next one says so.
func TestALineThatCantBeWrittenIsCounted(t *testing.T) {
	dir, c := t.TempDir(), &clock{time.Now()}
	r := open(t, dir, 1<<20, 1, c)
	good := r.f
	bad, err := os.Open(filepath.Join(dir, NowName)) // for reading only
	if err != nil {
		t.Fatal(err)
	}
	r.f = bad
	for range 2 {
		if r.Write(Line{Why: "x"}) == nil {
			t.Fatal("it is written")
		}
	}
	bad.Close()
	r.f = good
	if err := r.Write(Line{Why: "y"}); err != nil {
		t.Fatal(err)
	}
	if lines, _ := readBack(t, dir); len(lines) != 2 || lines[1].Lost != 2 {
		t.Errorf("%+v", lines)
	}
}

func TestRecordsThatCantBeReadAreToldSo(t *testing.T) {
	newer, err := Line{Head: &Head{Format: Format + 1, Node: "n", Life: 1}}.appendTo(nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		raw  string
		want error
	}{"a later form": {string(newer), ErrNewer}, "nothing": {"", ErrNoHead}, "noise": {"deadbeef{}\nxx\n", ErrNoHead}} {
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

// world plays a fleet with clocks hours apart in which endpoints come and go, and keeps the truth.
type world struct {
	history History
	truth   map[auditKey]int
	records map[string][]byte
}

type auditKey struct {
	node     string
	endpoint string
	revision int64
}

func play(rng *rand.Rand, nodes, calls int, grace int64) world {
	w := world{truth: map[auditKey]int{}, records: map[string][]byte{}}
	type state struct {
		gone  int64 // when; 0 for there
		known bool
	}
	endpoints := map[string]*state{}
	var names []string
	for i := range 5 {
		names = append(names, fmt.Sprint("e", i))
		endpoints[names[i]] = &state{}
	}
	lines := map[string][]Line{}
	offset, heard, seq := map[string]int64{}, map[string]int64{}, int64(0)
	for i := range nodes {
		n := fmt.Sprint("n", i)
		offset[n], heard[n] = rng.Int64N(10*3600_000)-5*3600_000, 1
		lines[n] = []Line{{Head: &Head{Format: Format, Node: n, Life: 1}}}
	}
	w.history = History{Floor: 1, Head: 1}
	for now := int64(50_000_000_000); calls > 0; now += 10 + rng.Int64N(200) {
		if rng.IntN(6) == 0 {
			id := names[rng.IntN(len(names))]
			e, phase := endpoints[id], "DELETED"
			if w.history.Head++; e.gone != 0 {
				e.gone, phase = 0, serving
			} else {
				e.gone = now
			}
			w.history.Changes = append(w.history.Changes, Change{w.history.Head, now, id, phase})
		}
		n := fmt.Sprint("n", rng.IntN(nodes))
		at := now + offset[n]
		if rng.IntN(3) == 0 {
			heard[n] = w.history.Head
		}
		if rng.IntN(4) == 0 {
			lines[n] = append(lines[n], Line{AtMS: at + rng.Int64N(3000), Sync: &Sync{now - rng.Int64N(20), at, 20}})
		}
		id := names[rng.IntN(len(names))]
		how := []How{Answered, Answered, Answered, Answered, Answered, Unsure, Unsent}[rng.IntN(7)]
		seq++
		calls--
		lines[n] = append(lines[n], Line{AtMS: at, List: heard[n], Begun: []Begun{{seq, id}}})
		if rng.IntN(20) > 0 {
			lines[n] = append(lines[n], Line{AtMS: at + 5, Ended: []Ended{{seq, how, at, 2}}})
		} else if how = Unsure; rng.IntN(2) == 0 {
			how = Answered // a kill came between
		}
		if gone := endpoints[id].gone; how != Unsent && gone != 0 && now > gone+grace {
			w.truth[auditKey{n, id, heard[n]}]++
		}
	}
	for n, all := range lines {
		for _, l := range all {
			w.records[n], _ = l.appendTo(w.records[n])
		}
	}
	return w
}

// Whatever the clocks say, the audit finds no call that was not late, and misses none but what it tells as unsure.
func TestTheAuditTellsTheTruth(t *testing.T) {
	const grace, nodes = 1000, 6
	found, unsure := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := play(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), nodes, 400, grace)
		a := Auditor{History: w.history, Grace: grace * time.Millisecond, Slack: 30 * time.Millisecond}
		for n, raw := range w.records {
			a.Add(n, raw)
		}
		r := a.Report()
		got := map[auditKey][2]int{}
		for _, f := range r.Findings {
			k := auditKey{f.Node, f.Endpoint, f.Revision}
			sum := got[k]
			got[k] = [2]int{sum[0] + f.Calls, sum[1] + f.Unsure}
			found, unsure = found+f.Calls, unsure+f.Unsure
		}
		unknown := map[string]bool{}
		for _, u := range r.Unknown {
			unknown[u.Node] = true
		}
		for k, n := range w.truth {
			if g := got[k]; !unknown[k.node] && (g[0] > n || g[0]+g[1] < n) {
				t.Fatalf("%+v: %d late, the audit has %d and is unsure of %d", k, n, g[0], g[1])
			}
		}
		for k, g := range got {
			if g[0] > w.truth[k] {
				t.Fatalf("%+v: %d late, the audit has %d", k, w.truth[k], g[0])
			}
		}
	})
	if found == 0 || unsure > found {
		t.Errorf("%d found, %d unsure", found, unsure)
	}
}

// FuzzParse: no text panics, and what is read of a spoilt record stands in the good one.
func FuzzParse(f *testing.F) {
	good, err := Line{Head: &Head{Format: Format, Node: "n", Life: 1}, AtMS: 5}.appendTo(nil)
	if err != nil {
		f.Fatal(err)
	}
	good, _ = Line{AtMS: 6, List: 7, Begun: []Begun{{1, "e"}}}.appendTo(good)
	f.Add(good, 3, byte(1))
	f.Fuzz(func(t *testing.T, raw []byte, at int, flip byte) {
		Parse(raw)
		if len(raw) == 0 || flip == 0 {
			return
		}
		spoilt := append([]byte(nil), good...)
		spoilt[(at%len(good)+len(good))%len(good)] ^= flip
		lines, damaged, err := Parse(spoilt)
		if err == nil && len(lines) == 2 && damaged == 0 {
			t.Errorf("a flipped byte is not told: %q", spoilt)
		}
	})
}

// BenchmarkWrite is what a call costs: a line before it and a line after it.
func BenchmarkWrite(b *testing.B) {
	r := open(b, b.TempDir(), 1<<20, 1, &clock{time.Now()})
	defer r.Close()
	for i := int64(0); b.Loop(); i++ {
		if err := r.Write(Line{List: 68719476740, Begun: []Begun{{i, "partner-17"}}}); err != nil {
			b.Fatal(err)
		}
		if err := r.Write(Line{Ended: []Ended{{Seq: i, How: Answered, FromMS: 1796169754000, TookMS: 0}}}); err != nil {
			b.Fatal(err)
		}
	}
}

package listwatch

import (
	"fmt"
	"os"
	"testing"
	"time"
)

func TestTheKeptList(t *testing.T) {
	dir := t.TempDir()
	k := NewKept(dir, 1<<17)
	if l, err := k.Read(); err != nil || l.Revision != 0 {
		t.Fatalf("nothing was kept: %+v, %v", l, err)
	}
	now := time.Now()
	if k.Wait(now) < time.Minute {
		t.Error("nothing is known, and due")
	}
	k.Changed(7)
	if k.Wait(now) != 0 {
		t.Error("a new list is not due")
	}
	want := List{Revision: 7, Complete: true, Members: membersOf("a", "b")}
	if err := k.Write(want); err != nil {
		t.Fatal(err)
	}
	if wait := k.Wait(now); wait <= 0 || wait > 2*keepPause {
		t.Errorf("the next is due in %v", wait)
	}
	if got, err := NewKept(dir, 1<<17).Read(); err != nil || fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %+v, %v", got, err)
	}
	var ids []string
	for n := range 5000 {
		ids = append(ids, fmt.Sprintf("endpoint-%d", n))
	}
	if err := k.Write(List{Revision: 8, Members: membersOf(ids...)}); err == nil {
		t.Error("a list beyond its room is kept")
	}
	if got, err := k.Read(); err != nil || got.Revision != 7 {
		t.Errorf("after that: %+v, %v", got, err)
	}
	if err := os.WriteFile(k.path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := k.Read(); err == nil {
		t.Error("half a file is taken for a list")
	}
}

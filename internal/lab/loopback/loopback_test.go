package loopback

import (
	"os"
	"testing"
	"time"

	"harrierramp/internal/cli"
	"harrierramp/internal/lab/model"
)

const childEnv = "TEST_CHILD_OF_THE_LAB"

// TestMain runs harrierramp instead of the tests when the driver starts the test binary as a node.
func TestMain(m *testing.M) {
	if os.Getenv(childEnv) != "" {
		os.Exit(cli.Main(nil, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// Real nodes are killed and restarted under load while a partner crashes. The ledger, which sees the clients and the
// endpoints, must find no broken rule and no lost message.
func TestNodesLoseNoMessageWhenKilledAndRestarted(t *testing.T) {
	t.Setenv(childEnv, "1")
	day, err := model.Draw("quiet", 3, 4)
	if err != nil {
		t.Fatal(err)
	}
	day.Length = 6 * time.Second
	day.Faults = []model.Fault{
		{Kind: model.Kill, At: 2 * time.Second, Duration: 500 * time.Millisecond, Nodes: []int{0, 1}, Zone: -1},
		{Kind: model.Crash, At: 3 * time.Second, Duration: time.Second, Dests: []int{0}, Zone: -1},
	}
	r, err := Play(t.Context(), day, Options{Program: os.Args[0], Log: t.Output()})
	if err != nil {
		t.Fatal(err)
	}
	if r.ViolationCount > 0 {
		t.Errorf("%+v", r.Violations[0])
	}
	if r.Lost > 0 || r.Delivered < r.Offered/2 || r.Delivered == 0 {
		t.Errorf("offered %d, delivered %d, lost %d", r.Offered, r.Delivered, r.Lost)
	}
}

func TestTooManyNodesOrTooLongDayIsRejected(t *testing.T) {
	day, err := model.Draw("quiet", MaxNodes+1, 1)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Play(t.Context(), day, Options{}); err == nil {
		t.Error("a run with too many nodes was started")
	}
	day.Nodes, day.Length = day.Nodes[:1], time.Hour
	if _, err := Play(t.Context(), day, Options{}); err == nil {
		t.Error("a run of one hour was started")
	}
}

// Command wirehost runs instances of the decision module for the simulator. It reads batches of events from standard
// input, one JSON object per line, and writes one reply per batch to standard output. Instances share no state.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// host is the state of the process: the instances by name, and the lists by number.
type host struct {
	nodes map[string]*choice.Sender
	lists map[int][]choice.Entry
	out   *bufio.Writer
}

func newHost(out io.Writer) *host {
	return &host{
		nodes: map[string]*choice.Sender{}, lists: map[int][]choice.Entry{}, out: bufio.NewWriter(out),
	}
}

// batch collects the events of one batch by instance. Instances are stepped in the order in which they first appear.
type batch struct {
	now       time.Duration
	nodeOrder []string
	events    map[string][]choice.Event
}

// run handles the batches on in until its end.
func run(in io.Reader, out io.Writer) error {
	h := newHost(out)
	r := bufio.NewReaderSize(in, 1<<20)
	var b *batch
	for n := 1; ; n++ {
		text, err := r.ReadBytes('\n')
		if len(text) > 0 && text[0] != '\n' {
			var lineErr error
			if b, lineErr = h.handleLine(b, text); lineErr != nil {
				return fmt.Errorf("line %d: %w", n, lineErr)
			}
		}
		if errors.Is(err, io.EOF) {
			if b != nil {
				return fmt.Errorf("line %d: input ends inside a batch", n)
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// handleLine handles one line of input. It takes and returns the batch that is open before and after the line, nil for
// none.
func (h *host) handleLine(b *batch, text []byte) (*batch, error) {
	l, err := wire.Parse(text)
	if err != nil {
		return b, err
	}
	if l.Type == "Turn" {
		if b != nil {
			return b, errors.New("Turn inside a batch")
		}
		return &batch{now: wire.FromMillis(l.Time), events: map[string][]choice.Event{}}, nil
	}
	if b == nil {
		return b, fmt.Errorf("%s outside a batch", l.Type)
	}
	switch l.Type {
	case "YourTurn":
		for _, node := range b.nodeOrder {
			if h.nodes[node] != nil {
				if err := h.stepNode(b.now, node, b.events[node]); err != nil {
					return b, err
				}
			}
		}
		if _, err := fmt.Fprintln(h.out, wire.DoneLine); err != nil {
			return b, err
		}
		return nil, h.out.Flush()
	case "Manifest":
		entries, err := wire.Entries(l.Records)
		if err != nil {
			return b, fmt.Errorf("Manifest of list %d: %w", l.ListNumber, err)
		}
		h.lists[l.ListNumber] = entries
		return b, nil
	case "Born":
		settings, err := wire.Settings(l.Settings)
		if err != nil {
			return b, fmt.Errorf("Born for node %q: %w", l.Node, err)
		}
		seed, err := strconv.ParseUint(l.Seed.String(), 10, 64)
		if err != nil {
			signed, serr := strconv.ParseInt(l.Seed.String(), 10, 64)
			if serr != nil {
				return b, fmt.Errorf("Born for node %q: nonce64: %w", l.Node, err)
			}
			seed = uint64(signed)
		}
		h.nodes[l.Node] = choice.New(settings, seed)
		b.resetNode(l.Node)
		return b, nil
	case "Down":
		if h.nodes[l.Node] == nil {
			return b, fmt.Errorf("Down for node %q, which had no Born line", l.Node)
		}
		delete(h.nodes, l.Node)
		b.resetNode(l.Node)
		return b, nil
	}
	if h.nodes[l.Node] == nil {
		return b, fmt.Errorf("%s for node %q, which had no Born line", l.Type, l.Node)
	}
	ev, err := wire.Event(l, h.lists)
	if err != nil {
		return b, fmt.Errorf("%s for node %q: %w", l.Type, l.Node, err)
	}
	if ev != nil {
		b.addEvent(l.Node, ev)
	}
	return b, nil
}

func (b *batch) addEvent(node string, ev choice.Event) {
	if _, ok := b.events[node]; !ok {
		b.nodeOrder = append(b.nodeOrder, node)
	}
	b.events[node] = append(b.events[node], ev)
}

// resetNode drops the events that this batch has for an instance that is now created or ended. The instance is stepped
// all the same.
func (b *batch) resetNode(node string) {
	if _, ok := b.events[node]; !ok {
		b.nodeOrder = append(b.nodeOrder, node)
	}
	b.events[node] = nil
}

// stepNode steps one instance and writes its actions. A panic of the instance becomes a Broken line.
func (h *host) stepNode(now time.Duration, node string, events []choice.Event) (err error) {
	defer func() {
		if p := recover(); p != nil {
			_, err = fmt.Fprintf(h.out, "%s\n", wire.CrashLine(node, fmt.Sprint(p)))
		}
	}()
	for _, a := range h.nodes[node].Step(now, events) {
		b, err := wire.Action(node, a)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(h.out, "%s\n", b); err != nil {
			return err
		}
	}
	return nil
}

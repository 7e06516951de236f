package choice

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// A Sender's state can be carried to another process of the same node, which then decides as this one would have.
// Each bare struct names its fields once, in fields, for both ways. What a newer version adds is left zero when an
// older one has written the state, and the other way round it is ignored.

var errCarried = errors.New("choice: a carried state that does not hold together")

// fielder names its fields, with pointers to them.
type fielder interface{ fields() map[string]any }

func (g *gate) fields() map[string]any {
	return map[string]any{"average": &g.average, "baseline": &g.baseline, "at": &g.at, "seen": &g.seen, "shut": &g.shut}
}

func (r *route) fields() map[string]any {
	return map[string]any{
		"waitUntil": &r.waitUntil, "limit": &r.limit, "reported": &r.reported, "left": &r.left, "weight": &r.weight,
		"part": &r.part, "partAt": &r.partAt, "tokens": &r.tokens, "tokensAt": &r.tokensAt, "fails": &r.fails,
		"failedAt": &r.failedAt, "rest": &r.rest, "sick": &r.sick, "harmless": &r.harmless, "trialAt": &r.trialAt,
		"backoff": &r.backoff, "trial": &r.trial, "coldFrom": &r.coldFrom, "struckAt": &r.struckAt, "demand": &r.demand,
		"busiest": &r.busiest, "passed": &r.passed, "passedAt": &r.passedAt, "cutAt": &r.cutAt,
	}
}

func (d *destination) fields() map[string]any {
	return map[string]any{
		"kind": &d.kind, "used": &d.used, "usedAt": &d.usedAt, "lastTrial": &d.lastTrial, "came": &d.came, "cameAt": &d.cameAt,
	}
}

func (e *endpoint) fields() map[string]any {
	return map[string]any{
		"id": &e.id, "zone": &e.zone, "ready": &e.ready, "listed": &e.listed, "disabled": &e.disabled,
		"response": &e.response, "usual": &e.usual, "sentAt": &e.sentAt, "gap": &e.gap, "shunRest": &e.shunRest, "shunUntil": &e.shunUntil,
	}
}

func (m *message) fields() map[string]any {
	return map[string]any{
		"id": &m.id, "key": &m.key, "worth": &m.worth, "arrived": &m.arrived, "born": &m.born, "aim": &m.aim,
		"dropDead": &m.dropDead, "attempts": &m.attempts, "out": &m.out, "mayRun": &m.mayRun, "touched": &m.touched,
		"zone": &m.zone, "notBefore": &m.notBefore, "over": &m.over, "found": &m.found,
	}
}

func (c *call) fields() map[string]any {
	return map[string]any{
		"sentAt": &c.sentAt, "left": &c.left, "trial": &c.trial, "called": &c.called, "repeatable": &c.repeatable,
	}
}

func (t *tenant) fields() map[string]any { return map[string]any{"tokens": &t.tokens, "at": &t.at} }

// fields of the sender are those that are no structure of their own.
func (s *Sender) fields() map[string]any {
	return map[string]any{
		"now": &s.now, "rests": &s.rests, "crowded": &s.crowded, "tables": &s.tables, "busy": &s.busy, "wakeAt": &s.wakeAt, "asking": &s.asking,
		"askAt": &s.askAt, "out": &s.out, "failing": &s.failing,
	}
}

// plain is the carried form of a struct's fields.
type plain map[string]json.RawMessage

// pack reads the fields of a struct; the first error stays.
func pack(f fielder, fail *error) plain {
	p := plain{}
	for name, at := range f.fields() {
		raw, err := json.Marshal(at)
		if err != nil && *fail == nil {
			*fail = fmt.Errorf("choice: %s: %w", name, err)
		}
		p[name] = raw
	}
	return p
}

// unpack sets them.
func (p plain) unpack(f fielder, fail *error) {
	for name, at := range f.fields() {
		if raw, ok := p[name]; ok {
			if err := json.Unmarshal(raw, at); err != nil && *fail == nil {
				*fail = fmt.Errorf("choice: %s: %w", name, err)
			}
		}
	}
}

// The carried form. Messages and destinations are named by their places in the lists.
type (
	carried struct {
		Sender   plain
		Random   []byte
		Tenants  []plain
		Dests    []carriedDest
		Messages []carriedMessage
		Open     []int
		Lines    map[string][]int
		Active   []int
	}
	carriedDest struct {
		ID        int
		Fields    plain
		Gate      plain
		Route     plain
		Endpoints []carriedEndpoint
		Waiting   []int
		Calls     []carriedCall
	}
	carriedEndpoint struct {
		Fields  plain
		Route   plain // of its own; without one it shares the destination's
		Current bool  // it is what its id stands for now
	}
	carriedMessage struct {
		Fields plain
		Class  int // -1 for none that the settings have
		Dest   int
		Held   bool // it has no end yet
	}
	carriedCall struct {
		Fields   plain
		Endpoint int // place among the destination's
		Sends    []carriedSend
	}
	carriedSend struct {
		ID      string
		N       int
		Pending bool // it has no outcome yet
		Message int
	}
)

// Carry writes down all that the sender knows between two steps.
func (s *Sender) Carry() ([]byte, error) {
	var fail error
	c := carried{Sender: pack(s, &fail), Lines: map[string][]int{}}
	var err error
	if c.Random, err = s.source.MarshalBinary(); err != nil {
		return nil, fmt.Errorf("choice: %w", err)
	}
	for i := range s.tenants {
		c.Tenants = append(c.Tenants, pack(&s.tenants[i], &fail))
	}
	dests := map[*destination]int{}
	for i, d := range s.order {
		dests[d] = i
	}
	places := map[*message]int{}
	place := func(m *message) int {
		if i, ok := places[m]; ok {
			return i
		}
		class := -1
		for i := range s.cfg.Classes {
			if m.class == &s.cfg.Classes[i] {
				class = i
			}
		}
		places[m] = len(c.Messages)
		c.Messages = append(c.Messages, carriedMessage{pack(m, &fail), class, dests[m.dest], s.msgs[m.id] == m})
		return places[m]
	}
	all := func(ms []*message) []int {
		var out []int
		for _, m := range ms {
			out = append(out, place(m))
		}
		return out
	}
	ids := map[*destination]int{}
	for id, d := range s.dests {
		ids[d] = id
	}
	for _, d := range s.order {
		cd := carriedDest{
			ID: ids[d], Fields: pack(d, &fail), Gate: pack(&d.gate, &fail), Route: pack(d.shared, &fail), Waiting: all(d.waiting),
		}
		for _, e := range d.endpoints {
			ce := carriedEndpoint{Fields: pack(e, &fail), Current: s.eps[e.id] == e}
			if e.route != d.shared {
				ce.Route = pack(e.route, &fail)
			}
			cd.Endpoints = append(cd.Endpoints, ce)
		}
		for _, k := range d.calls {
			ck := carriedCall{Fields: pack(k, &fail), Endpoint: slices.Index(d.endpoints, k.ep)}
			for _, a := range k.sends {
				cs := carriedSend{ID: a.id, N: a.n}
				if out := s.sent[a]; out.c == k {
					cs.Pending, cs.Message = true, place(out.m)
				}
				ck.Sends = append(ck.Sends, cs)
			}
			cd.Calls = append(cd.Calls, ck)
		}
		c.Dests = append(c.Dests, cd)
	}
	c.Open = all(s.open)
	for _, key := range slices.Sorted(maps.Keys(s.lines)) {
		c.Lines[key] = all(s.lines[key])
	}
	for _, d := range s.active {
		c.Active = append(c.Active, dests[d])
	}
	if fail != nil {
		return nil, fail
	}
	return json.Marshal(c)
}

// Carried returns a sender that goes on from what another process of the node carried over. The clock must go on
// as well, and every attempt that was out there must have its outcome told here.
func Carried(cfg Settings, seed uint64, raw []byte) (*Sender, error) {
	var c carried
	if err := json.Unmarshal(raw, &c); err != nil {
		return nil, fmt.Errorf("choice: %w", err)
	}
	s := New(cfg, seed)
	var fail error
	c.Sender.unpack(s, &fail)
	if err := s.source.UnmarshalBinary(c.Random); err != nil {
		return nil, fmt.Errorf("choice: %w", err)
	}
	for i := range min(len(c.Tenants), len(s.tenants)) {
		c.Tenants[i].unpack(&s.tenants[i], &fail)
	}
	for _, cd := range c.Dests {
		d := s.destination(cd.ID)
		cd.Fields.unpack(d, &fail)
		cd.Gate.unpack(&d.gate, &fail)
		cd.Route.unpack(d.shared, &fail)
		for _, ce := range cd.Endpoints {
			e := &endpoint{dest: d, route: d.shared}
			ce.Fields.unpack(e, &fail)
			if ce.Route != nil {
				e.route = newRoute()
				ce.Route.unpack(e.route, &fail)
			}
			d.endpoints = append(d.endpoints, e)
			if ce.Current {
				s.eps[e.id] = e
			}
		}
	}
	if len(s.order) != len(c.Dests) {
		return nil, errCarried
	}
	messages := make([]*message, 0, len(c.Messages))
	for _, cm := range c.Messages {
		if cm.Dest < 0 || cm.Dest >= len(s.order) {
			return nil, errCarried
		}
		m := &message{class: &Class{}, dest: s.order[cm.Dest]}
		if cm.Class >= 0 && cm.Class < len(s.cfg.Classes) {
			m.class = &s.cfg.Classes[cm.Class]
		}
		cm.Fields.unpack(m, &fail)
		messages = append(messages, m)
		if cm.Held {
			s.msgs[m.id] = m
		}
	}
	all := func(places []int) (out []*message) {
		for _, i := range places {
			if i < 0 || i >= len(messages) {
				fail = errors.Join(fail, errCarried)
				continue
			}
			out = append(out, messages[i])
		}
		return out
	}
	for i, cd := range c.Dests {
		d := s.order[i]
		d.waiting = all(cd.Waiting)
		for _, m := range d.waiting {
			m.waits = true
		}
		for _, ck := range cd.Calls {
			if ck.Endpoint < 0 || ck.Endpoint >= len(d.endpoints) {
				return nil, errCarried
			}
			k := &call{ep: d.endpoints[ck.Endpoint]}
			ck.Fields.unpack(k, &fail)
			for _, cs := range ck.Sends {
				a := attempt{cs.ID, cs.N}
				k.sends = append(k.sends, a)
				if cs.Pending {
					for _, m := range all([]int{cs.Message}) {
						s.sent[a] = sending{m, k}
					}
				}
			}
			d.calls = append(d.calls, k)
		}
	}
	s.open = all(c.Open)
	for key, places := range c.Lines {
		s.lines[key] = all(places)
	}
	for _, i := range c.Active {
		if i < 0 || i >= len(s.order) {
			return nil, errCarried
		}
		s.order[i].active = true
		s.active = append(s.active, s.order[i])
	}
	return s, fail
}

// WakeAt is the clock time of the wake that is still to come, 0 for none.
func (s *Sender) WakeAt() time.Duration { return s.wakeAt }

// Held lists the messages that have no final answer yet.
func (s *Sender) Held() []string { return slices.Sorted(maps.Keys(s.msgs)) }

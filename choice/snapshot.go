package choice

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// The state of a Sender can be handed over to another process of the same node, which then makes the same decisions.
// Each struct names its fields once, in its fields method, for both directions. A field that an older version did not
// write stays zero, and a field that only a newer version knows is ignored.

var errInvalidSnapshot = errors.New("choice: inconsistent snapshot")

// field is a field of a struct that is part of a snapshot: its stored name, which must not change, and a pointer to it.
type field struct {
	name  string
	value any
}

// fieldLister is a struct that lists its fields that are part of a snapshot.
type fieldLister interface{ fields() []field }

func (g *gate) fields() []field {
	return []field{{"average", &g.average}, {"baseline", &g.baseline}, {"at", &g.sampledAt}, {"seen", &g.sampled}, {"shut", &g.shut}}
}

func (r *route) fields() []field {
	return []field{
		{"waitUntil", &r.waitUntil}, {"limit", &r.reportedLimit}, {"reported", &r.limitReported}, {"left", &r.limitLeft}, {"weight", &r.weight},
		{"part", &r.limitShare}, {"partAt", &r.limitShareUpdatedAt}, {"tokens", &r.tokens}, {"tokensAt", &r.refilledAt}, {"fails", &r.failures},
		{"failedAt", &r.firstFailureAt}, {"rest", &r.refusalBackoff}, {"sick", &r.circuitOpen}, {"harmless", &r.failureRanNothing}, {"trialAt", &r.nextTrialAt},
		{"backoff", &r.trialBackoff}, {"trial", &r.trialInFlight}, {"coldFrom", &r.recoveryStartedAt}, {"struckAt", &r.outageStartedAt}, {"demand", &r.demandSinceOutage},
		{"busiest", &r.peakRate}, {"passed", &r.windowSuccesses}, {"passedAt", &r.windowStartedAt}, {"cutAt", &r.lastCutAt},
	}
}

func (d *destination) fields() []field {
	return []field{
		{"kind", &d.kind}, {"used", &d.slotUse}, {"usedAt", &d.slotUseUpdatedAt}, {"lastTrial", &d.lastGateTrialAt}, {"came", &d.recentArrivals}, {"cameAt", &d.recentArrivalsUpdatedAt},
	}
}

func (e *endpoint) fields() []field {
	return []field{
		{"id", &e.id}, {"zone", &e.zone}, {"ready", &e.ready}, {"listed", &e.listed}, {"disabled", &e.disabled},
		{"response", &e.penalizedLatency}, {"usual", &e.smoothedLatency}, {"sentAt", &e.lastSentAt}, {"gap", &e.sendInterval}, {"shunRest", &e.ejectionTime}, {"shunUntil", &e.ejectedUntil},
	}
}

func (m *message) fields() []field {
	return []field{
		{"id", &m.id}, {"key", &m.key}, {"worth", &m.worth}, {"arrived", &m.arrivedAt}, {"born", &m.handedInAt}, {"aim", &m.aim},
		{"dropDead", &m.deadline}, {"attempts", &m.attempts}, {"out", &m.inFlight}, {"mayRun", &m.firstRunSentAt}, {"touched", &m.mayHaveRun},
		{"zone", &m.runZone}, {"notBefore", &m.retryAt}, {"over", &m.ended}, {"found", &m.resumed},
	}
}

func (c *call) fields() []field {
	return []field{
		{"sentAt", &c.sentAt}, {"left", &c.unfinished}, {"trial", &c.trial}, {"called", &c.cancelRequested}, {"repeatable", &c.repeatable},
	}
}

func (t *tenant) fields() []field {
	return []field{{"tokens", &t.tokens}, {"at", &t.refilledAt}}
}

// fields lists the fields of the Sender itself. Structs that it points to have their own place in the snapshot.
func (s *Sender) fields() []field {
	return []field{
		{"now", &s.now}, {"rests", &s.keyBlockedUntil}, {"crowded", &s.connTableFullUntil}, {"tables", &s.connTables}, {"busy", &s.callsInFlight}, {"wakeAt", &s.nextWakeAt}, {"asking", &s.listRetryBackoff},
		{"askAt", &s.listRequestAt}, {"out", &s.disabledEndpoints}, {"failing", &s.failureRate},
	}
}

// These types are the stored form of a snapshot. Messages and destinations are identified by their index in its lists.
type (
	snapshot struct {
		Sender   storedFields
		Random   []byte
		Tenants  []storedFields
		Dests    []snapshotDest
		Messages []snapshotMessage
		Open     []int
		Lines    map[string][]int
		Active   []int
	}
	snapshotDest struct {
		ID        int
		Fields    storedFields
		Gate      storedFields
		Route     storedFields
		Endpoints []snapshotEndpoint
		Waiting   []int
		Calls     []snapshotCall
	}
	snapshotEndpoint struct {
		Fields  storedFields
		Route   storedFields // null if the endpoint shares the route of its destination
		Current bool         // the endpoint that its ID refers to at present
	}
	snapshotMessage struct {
		Fields storedFields
		Class  int // index in Settings.Classes; -1 for a class that is not configured
		Dest   int
		Held   bool // it has no final answer yet
	}
	snapshotCall struct {
		Fields   storedFields
		Endpoint int // index among the endpoints of the destination
		Sends    []snapshotSend
	}
	snapshotSend struct {
		ID      string
		N       int
		Pending bool // it has no outcome yet, and Message is valid
		Message int
	}
)

// Snapshot encodes the state of the Sender between two steps.
func (s *Sender) Snapshot() ([]byte, error) {
	var firstErr error
	c := snapshot{Sender: marshalFields(s, &firstErr), Lines: map[string][]int{}}
	var err error
	if c.Random, err = s.rngSource.MarshalBinary(); err != nil {
		return nil, fmt.Errorf("choice: encode random source: %w", err)
	}
	for i := range s.tenants {
		c.Tenants = append(c.Tenants, marshalFields(&s.tenants[i], &firstErr))
	}
	destIndexes := map[*destination]int{}
	for i, d := range s.destinationOrder {
		destIndexes[d] = i
	}
	indexes := map[*message]int{}
	indexOf := func(m *message) int {
		if i, ok := indexes[m]; ok {
			return i
		}
		class := -1
		for i := range s.cfg.Classes {
			if m.class == &s.cfg.Classes[i] {
				class = i
			}
		}
		indexes[m] = len(c.Messages)
		c.Messages = append(c.Messages, snapshotMessage{marshalFields(m, &firstErr), class, destIndexes[m.dest], s.messages[m.id] == m})
		return indexes[m]
	}
	indexesOf := func(ms []*message) []int {
		var out []int
		for _, m := range ms {
			out = append(out, indexOf(m))
		}
		return out
	}
	ids := map[*destination]int{}
	for id, d := range s.destinations {
		ids[d] = id
	}
	for _, d := range s.destinationOrder {
		cd := snapshotDest{
			ID: ids[d], Fields: marshalFields(d, &firstErr), Gate: marshalFields(&d.gate, &firstErr), Route: marshalFields(d.sharedRoute, &firstErr), Waiting: indexesOf(d.waiting),
		}
		for _, e := range d.endpoints {
			ce := snapshotEndpoint{Fields: marshalFields(e, &firstErr), Current: s.endpoints[e.id] == e}
			if e.route != d.sharedRoute {
				ce.Route = marshalFields(e.route, &firstErr)
			}
			cd.Endpoints = append(cd.Endpoints, ce)
		}
		for _, k := range d.calls {
			ck := snapshotCall{Fields: marshalFields(k, &firstErr), Endpoint: slices.Index(d.endpoints, k.endpoint)}
			for _, a := range k.attempts {
				cs := snapshotSend{ID: a.id, N: a.number}
				if out := s.inFlight[a]; out.call == k {
					cs.Pending, cs.Message = true, indexOf(out.message)
				}
				ck.Sends = append(ck.Sends, cs)
			}
			cd.Calls = append(cd.Calls, ck)
		}
		c.Dests = append(c.Dests, cd)
	}
	c.Open = indexesOf(s.openMessages)
	for _, key := range slices.Sorted(maps.Keys(s.keyQueues)) {
		c.Lines[key] = indexesOf(s.keyQueues[key])
	}
	for _, d := range s.activeDestinations {
		c.Active = append(c.Active, destIndexes[d])
	}
	if firstErr != nil {
		return nil, firstErr
	}
	return json.Marshal(c)
}

// Restore returns a Sender that continues from the Snapshot of another process of the node. The clock must go on from
// there as well, and the outcomes of all attempts that were in flight must be passed to the new Sender.
func Restore(cfg Settings, seed uint64, raw []byte) (*Sender, error) {
	var c snapshot
	if err := json.Unmarshal(raw, &c); err != nil {
		return nil, fmt.Errorf("choice: decode snapshot: %w", err)
	}
	s := New(cfg, seed)
	var firstErr error
	unmarshalFields(c.Sender, s, &firstErr)
	if err := s.rngSource.UnmarshalBinary(c.Random); err != nil {
		return nil, fmt.Errorf("choice: decode random source: %w", err)
	}
	for i := range min(len(c.Tenants), len(s.tenants)) {
		unmarshalFields(c.Tenants[i], &s.tenants[i], &firstErr)
	}
	for _, cd := range c.Dests {
		d := s.destination(cd.ID)
		unmarshalFields(cd.Fields, d, &firstErr)
		unmarshalFields(cd.Gate, &d.gate, &firstErr)
		unmarshalFields(cd.Route, d.sharedRoute, &firstErr)
		for _, ce := range cd.Endpoints {
			e := &endpoint{dest: d, route: d.sharedRoute}
			unmarshalFields(ce.Fields, e, &firstErr)
			if isObject(ce.Route) {
				e.route = newRoute()
				unmarshalFields(ce.Route, e.route, &firstErr)
			}
			d.endpoints = append(d.endpoints, e)
			if ce.Current {
				s.endpoints[e.id] = e
			}
		}
	}
	if len(s.destinationOrder) != len(c.Dests) {
		return nil, errInvalidSnapshot
	}
	messages := make([]*message, 0, len(c.Messages))
	for _, cm := range c.Messages {
		if cm.Dest < 0 || cm.Dest >= len(s.destinationOrder) {
			return nil, errInvalidSnapshot
		}
		m := &message{class: &Class{}, dest: s.destinationOrder[cm.Dest]}
		if cm.Class >= 0 && cm.Class < len(s.cfg.Classes) {
			m.class = &s.cfg.Classes[cm.Class]
		}
		unmarshalFields(cm.Fields, m, &firstErr)
		messages = append(messages, m)
		if cm.Held {
			s.messages[m.id] = m
		}
	}
	messagesAt := func(indexes []int) (out []*message) {
		for _, i := range indexes {
			if i < 0 || i >= len(messages) {
				firstErr = errors.Join(firstErr, errInvalidSnapshot)
				continue
			}
			out = append(out, messages[i])
		}
		return out
	}
	for i, cd := range c.Dests {
		d := s.destinationOrder[i]
		d.waiting = messagesAt(cd.Waiting)
		for _, m := range d.waiting {
			m.queued = true
		}
		for _, ck := range cd.Calls {
			if ck.Endpoint < 0 || ck.Endpoint >= len(d.endpoints) {
				return nil, errInvalidSnapshot
			}
			k := &call{endpoint: d.endpoints[ck.Endpoint]}
			unmarshalFields(ck.Fields, k, &firstErr)
			for _, cs := range ck.Sends {
				a := attempt{cs.ID, cs.N}
				k.attempts = append(k.attempts, a)
				if cs.Pending {
					for _, m := range messagesAt([]int{cs.Message}) {
						s.inFlight[a] = inFlightAttempt{m, k}
					}
				}
			}
			d.calls = append(d.calls, k)
		}
	}
	s.openMessages = messagesAt(c.Open)
	for key, indexes := range c.Lines {
		s.keyQueues[key] = messagesAt(indexes)
	}
	for _, i := range c.Active {
		if i < 0 || i >= len(s.destinationOrder) {
			return nil, errInvalidSnapshot
		}
		s.destinationOrder[i].hasWork = true
		s.activeDestinations = append(s.activeDestinations, s.destinationOrder[i])
	}
	return s, firstErr
}

// NextWakeAt is the clock time of the wake that was requested last and has not come yet; 0 for none.
func (s *Sender) NextWakeAt() time.Duration { return s.nextWakeAt }

// OpenMessageIDs lists the messages that have no final answer yet, sorted.
func (s *Sender) OpenMessageIDs() []string { return slices.Sorted(maps.Keys(s.messages)) }

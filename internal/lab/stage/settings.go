package stage

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"time"

	"harrierramp/internal/lab/model"
	"harrierramp/internal/lab/process"
	"harrierramp/internal/lab/relay"
	"harrierramp/internal/wire"
)

// Indexes of the message classes that a stage uses.
const (
	classIdempotent = iota
	classAtMostOnce
)

var classNames = []string{"notice", "once"}

const connIdle = 15 * time.Second // idle timeout of partners' connections

// settings returns the deployment settings of one node, in the platform's configuration format.
func (s *Script) settings(nodeNumber int) map[string]any {
	ttl := float64(s.Traffic.TTL)
	class := func(name, effect string) map[string]any {
		return map[string]any{"name": name, "aim": ttl / 4, "deadline": ttl, "worth": 1, "lateWorth": 0.3, "effect": effect}
	}
	return map[string]any{
		"fleetSize": s.Nodes, "myNumber": nodeNumber, "flavors": []string{"partner"}, "failureDomains": []string{"a"},
		"categories": []any{class(classNames[classIdempotent], "idempotent"), class(classNames[classAtMostOnce], "at_most_once")},
		"customers":  []any{map[string]any{"name": "t", "allowancePerS": 1e6}},
		"discovery":  "pushed", "weights": s.Node.Weights, "overShareWorth": 0.2, "tick": 5,
		"domain": map[string]any{"decay": "line", "workers": s.Node.Slots, "separateRoutes": []bool{true}, "kindBatch": []int{1}},
		"limits": map[string]any{
			"dialTimeout": 1000, "connIdle": connIdle.Milliseconds(), "maxAttempts": 12, "maxOpen": 2000, "maxRetryAfter": 3000,
			"retryAfter": true, "cancel": true, "mayTell": s.Node.PeerDatagrams,
		},
		"contract": map[string]any{
			"graceToAnswer": 20, "coldFrom": 0.2, "warmWithin": 10_000, "stopSendingWithin": 1000, "fallMultiple": 2.5, "fall": 3000,
		},
	}
}

// nodeConfig returns the configuration of node n in the platform's format. It contains only the faces of other parties,
// so that all traffic passes the relays.
func (st *Stage) nodeConfig(n int) ([]byte, error) {
	self := relay.Party{Kind: relay.Node, Index: n}
	var peers, servers []string
	for i := range st.script.Nodes {
		peers = append(peers, process.HostPort(st.addrs.FaceAddr(relay.Party{Kind: relay.Node, Index: i}), process.PeerPort))
	}
	for i := range st.script.Servers {
		servers = append(servers, process.HostPort(st.addrs.FaceAddr(relay.Party{Kind: relay.Server, Index: i}), process.ListPort))
	}
	c := map[string]any{
		"name": self.String(), "listen": process.HostPort(st.addrs.OwnAddr(self), process.ClientPort), "source": st.addrs.OwnAddr(self).String(),
		"discovery": servers[0], "seed": fmt.Sprintf("%x", st.script.Seed<<16+uint64(n)+1),
		"limits":   map[string]any{"cores": 1, "memory_mb": 128, "sockets": 1024, "disk_mb": 3},
		"registry": map[string]any{"addresses": servers, "keep": st.script.Node.CacheList, "beat_ms": float64(st.script.Node.ListHeartbeat)},
		"settings": st.script.settings(n),
	}
	if st.script.Node.PeerDatagrams {
		c["peer_listen"], c["peers"] = process.HostPort(st.addrs.OwnAddr(self), process.PeerPort), peers
	}
	if st.script.Node.Admin {
		c["console"] = process.HostPort(st.addrs.OwnAddr(self), process.NodeAdminPort)
	}
	if st.script.Node.Audit {
		c["audit"] = map[string]any{"mark": true, "shut_out": st.script.Node.Fencing, "record_mb": float64(st.script.Node.AuditLogKB) / 1024}
	}
	if st.script.Node.Membership {
		c["membership"] = map[string]any{}
	}
	return json.Marshal(c)
}

// judgeDay converts the script to the model.Day that the judge needs.
func (s *Script) judgeDay() (model.Day, error) {
	raw, err := json.Marshal(s.settings(0))
	if err != nil {
		return model.Day{}, err
	}
	d := model.Day{Name: s.Name, Seed: s.Seed, Length: s.Length.Duration(), Nodes: make([]model.NodeSpec, s.Nodes), Zones: 1}
	if d.Settings, err = wire.Settings(raw); err != nil {
		return d, err
	}
	// The ledger checks for concurrent copies of a call itself, since it sees calls when they arrive at partners, not
	// when nodes send them. The judge's check is disabled.
	d.Settings.MayDuplicate = true
	for i, spec := range s.Dests {
		dest := model.DestSpec{Limit: spec.Rate}
		for k := range spec.Endpoints {
			dest.Endpoints = append(dest.Endpoints, model.EndpointSpec{ID: endpointID(i, k)})
		}
		d.Dests = append(d.Dests, dest)
	}
	return d, nil
}

func endpointID(dest, n int) string { return fmt.Sprintf("p%d-%d", dest, n) }

// serverArgs returns the arguments of list server n, which reaches the other servers by their faces.
func (st *Stage) serverArgs(n int) []string {
	self := relay.Party{Kind: relay.Server, Index: n}
	args := []string{
		"registry", "--listen", process.HostPort(st.addrs.OwnAddr(self), process.ListPort), "--console", process.HostPort(st.addrs.OwnAddr(self), process.ListAdminPort),
		"--state", filepath.Join(st.dir, self.String()), "--source", st.addrs.OwnAddr(self).String(), "--number", fmt.Sprint(n),
	}
	if n == 0 {
		args = append(args, "--bootstrap")
	}
	if st.script.Servers > 1 {
		all := ""
		for i := range st.script.Servers {
			p := relay.Party{Kind: relay.Server, Index: i}
			addr := process.HostPort(st.addrs.FaceAddr(p), process.ListPort)
			if i > 0 {
				all += ","
			}
			all += addr
		}
		args = append(args, "--servers", all)
	}
	return append(args, st.options.ServerArgs...)
}

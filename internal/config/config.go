// Package config reads the configuration of a node. The platform writes it as JSON and people write it as TOML; the
// environment and the command line override single values of either. All sources are read into the structure Config,
// whose tags give the name, default, bounds and meaning of each value. The example file, the JSON schema and the checks
// are generated from the same tags.
package config

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/capacity"
	"harrierramp/internal/listwatch"
	"harrierramp/internal/membership"
	"harrierramp/internal/units"
	"harrierramp/internal/wire"
)

// Config is the configuration of a node. The json tags are the names in the platform's JSON, the toml tags those in
// TOML files, in the environment and on the command line.
type Config struct {
	Name        string          `json:"name" toml:"name" default:"node" need:"yes" doc:"the node's name, the same after a restart"`
	Listen      string          `json:"listen" toml:"listen" default:"127.0.0.1:6379" need:"yes" check:"address" doc:"where clients connect (RESP2)"`
	StateDir    string          `json:"-" toml:"state" need:"yes" doc:"the folder that outlasts the process; it must exist"`
	AdminListen string          `json:"console" toml:"door" check:"address" doc:"the operators' door; none if empty"`
	Discovery   string          `json:"discovery" toml:"discovery" check:"address" reload:"yes" doc:"the platform's list of endpoints, where notices go as well"`
	SourceIP    string          `json:"source" toml:"source" doc:"the IP address that the node's own connections come from; the system's choice if empty"`
	Seed        string          `json:"seed" toml:"seed" doc:"for random numbers, hexadecimal; drawn at each start if empty"`
	PeerListen  string          `json:"peer_listen" toml:"peer_listen" check:"address" doc:"where datagrams of other nodes come"`
	Peers       []string        `json:"peers" toml:"peers" check:"address" doc:"all nodes by their numbers, this one too"`
	Limits      Limits          `json:"limits" toml:"limits"`
	Log         Log             `json:"log" toml:"log"`
	Registry    *ListService    `json:"registry" toml:"registry" doc:"the project's own list service, in place of discovery"`
	Membership  *Membership     `json:"membership" toml:"membership" doc:"nodes tell each other who is there"`
	Audit       *Audit          `json:"audit" toml:"audit" doc:"nodes tell the list service what they act on"`
	Delivery    wire.Conf       `json:"settings" toml:"delivery"`
	KnownList   listwatch.List  `json:"known" toml:"-"` // the endpoint list as the node last held it, which the platform passes to it at a start
	Settings    choice.Settings `json:"-" toml:"-"`     // Delivery, converted for package choice
	Names       wire.Names      `json:"-" toml:"-"`     // the names of classes, zones and so on in Delivery
}

// Limits are the resources that the process may use. Zero means that no limit is given.
type Limits struct {
	Cores   float64 `json:"cores" toml:"cores" default:"1" min:"0.05" max:"1024" doc:"of processor time"`
	Memory  MiB     `json:"memory_mb" toml:"memory" default:"192MiB" min:"16MiB" max:"64GiB" doc:"over it the platform kills the node"`
	Sockets int     `json:"sockets" toml:"sockets" default:"1024" min:"64" max:"1000000" doc:"descriptors; clients get a third"`
	Disk    MiB     `json:"disk_mb" toml:"disk" default:"3MiB" min:"512KiB" max:"64GiB" doc:"of the lasting folder"`
}

// Log is the level and the format of the log.
type Log struct {
	Level  string `json:"level" toml:"level" default:"info" one:"debug info warn error" reload:"yes" doc:"the least that is logged"`
	Format string `json:"format" toml:"format" default:"text" one:"text json" doc:"of the lines"`
}

// ListService is the section for this project's list service, which replaces the platform's discovery. All its servers
// serve the same list, with revisions that only increase.
type ListService struct {
	Addresses         []string     `json:"addresses" toml:"addresses" check:"address" reload:"yes" doc:"of all its servers, in any order"`
	KeepList          bool         `json:"keep" toml:"keep" doc:"keep the last good list in the lasting folder"`
	HeartbeatInterval units.Millis `json:"beat_ms" toml:"beat" min:"0s" max:"2s" doc:"list servers are asked to say something so often, and doubted after three times that in silence; 0s for as they like"`
	// How a starting node uses the list that it has kept on disk.
	KeptListWait   units.Millis `json:"kept_after_ms" toml:"kept_after" min:"0s" max:"1h" doc:"a start waits so long for a server's list before it serves on the kept one"`
	KeptListMaxAge units.Millis `json:"kept_most_ms" toml:"kept_most" min:"0s" max:"8760h" doc:"a kept list that is older is not served on; 0s for any age"`
}

// Membership is the section for the membership protocol, by which nodes detect which other nodes are alive.
type Membership struct {
	Period  units.Millis `json:"period_ms" toml:"period" default:"500ms" doc:"between pings; 50 ms to 1 min"`
	Timeout units.Millis `json:"timeout_ms" toml:"timeout" doc:"for an answer, before others are asked; at most half of the period; 0s for a third of it, and 150 ms at most"`
}

// Audit is the section by which a node reports to the list service which revision of the list it acts on. It requires
// the section registry.
type Audit struct {
	MarkCalls  bool `json:"mark" toml:"mark" doc:"calls say which list they rest on, in a header"`
	Fencing    bool `json:"shut_out" toml:"shut_out" doc:"nodes tell each other by datagrams which list they act on, and one that can't follow stops calling"`
	RecordSize MiB  `json:"record_mb" toml:"record" max:"64MiB" doc:"the record of acts takes so much of limits.disk at most; none if it is not given"`
}

func (a *Audit) check(c *Config) error {
	if a != nil && c.Registry == nil {
		return errors.New("the section audit requires the section registry")
	}
	if a != nil && a.RecordSize > c.Limits.Disk/2 {
		return fmt.Errorf("audit.record is %v MiB: must be at most half of limits.disk", float64(a.RecordSize))
	}
	return nil
}

const (
	maxListServers     = 16
	defaultPingPeriod  = 500 * time.Millisecond
	defaultPingTimeout = 150 * time.Millisecond
	minPingPeriod      = 50 * time.Millisecond
	maxPingPeriod      = time.Minute
	minSockets         = 64
	minMemory          = MiB(16)
)

// finish derives the values that the rest of the program reads, and checks the rules that involve several values.
func (c *Config) finish() error {
	var err error
	if c.Settings, err = c.Delivery.Settings(); err != nil {
		return err
	}
	c.Names = c.Delivery.Names()
	return errors.Join(c.checkSource(), c.Limits.check(), c.Registry.check(), c.Membership.check(c), c.Audit.check(c))
}

func (c *Config) checkSource() error {
	if c.SourceIP != "" && net.ParseIP(c.SourceIP) == nil {
		return fmt.Errorf("source is %q: must be an IP address without a port", c.SourceIP)
	}
	return nil
}

// SourceAddr returns the local address for outgoing connections, or nil to let the system choose.
func (c *Config) SourceAddr() net.Addr {
	if ip := net.ParseIP(c.SourceIP); ip != nil {
		return &net.TCPAddr{IP: ip}
	}
	return nil
}

// check returns an error if a limit is too small for a node to run. Zero means no limit.
func (l Limits) check() error {
	if l.Sockets > 0 && l.Sockets < minSockets {
		return fmt.Errorf("limits.sockets is %d: must be at least %d", l.Sockets, minSockets)
	}
	if l.Memory > 0 && l.Memory < minMemory {
		return fmt.Errorf("limits.memory is %v MiB: must be at least %v MiB", float64(l.Memory), float64(minMemory))
	}
	return nil
}

// Divide divides the limits among the parts of a node.
func (l Limits) Divide() capacity.Division {
	return capacity.Divide(capacity.Limits{Memory: l.Memory.Bytes(), Files: l.Disk.Bytes(), Cores: l.Cores, Descriptors: l.Sockets})
}

// DiscoveryAddrs returns the addresses of the servers that provide the endpoint list and accept notices.
func (c *Config) DiscoveryAddrs() []string {
	if c.Registry != nil {
		return c.Registry.Addresses
	}
	return []string{c.Discovery}
}

func (s *ListService) check() error {
	if s == nil {
		return nil
	}
	if len(s.Addresses) == 0 || len(s.Addresses) > maxListServers {
		return fmt.Errorf("registry.addresses has %d addresses: must be from 1 to %d", len(s.Addresses), maxListServers)
	}
	for i, addr := range s.Addresses {
		if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
			return fmt.Errorf("registry.addresses: %q is not an address with a port", addr)
		}
		if slices.Contains(s.Addresses[:i], addr) {
			return fmt.Errorf("registry.addresses contains %s twice", addr)
		}
	}
	return nil
}

func (m *Membership) check(c *Config) error {
	if m == nil {
		return nil
	}
	if c.PeerListen == "" || len(c.Peers) < 2 || !c.Settings.PeerDatagrams {
		return errors.New("membership requires peer_listen, at least two peers, and settings that allow notes (delivery.limits.notes)")
	}
	if c.Settings.Number < 0 || c.Settings.Number >= len(c.Peers) {
		return fmt.Errorf("membership: the node's number is %d, which is not an index into its %d peers", c.Settings.Number, len(c.Peers))
	}
	seen := map[membership.ID]string{}
	for _, addr := range c.Peers {
		id := membership.IDOf(addr)
		if before, ok := seen[id]; ok {
			return fmt.Errorf("membership: the peers %s and %s have the same identifier", before, addr)
		}
		seen[id] = addr
	}
	if p := m.PingPeriod(); p < minPingPeriod || p > maxPingPeriod {
		return fmt.Errorf("membership.period_ms is %v: must be from %d to %d", m.Period, minPingPeriod.Milliseconds(), maxPingPeriod.Milliseconds())
	}
	if t := m.PingTimeout(); t <= 0 || t > m.PingPeriod()/2 {
		return fmt.Errorf("membership.timeout_ms is %v: must be over 0 and at most half of the period", m.Timeout)
	}
	return nil
}

// PingPeriod returns the interval between pings.
func (m *Membership) PingPeriod() time.Duration {
	if m.Period == 0 {
		return defaultPingPeriod
	}
	return m.Period.Duration()
}

// PingTimeout returns how long to wait for the answer to a ping before other nodes are asked to ping the silent one.
func (m *Membership) PingTimeout() time.Duration {
	if m.Timeout == 0 {
		return min(defaultPingTimeout, m.PingPeriod()/3)
	}
	return m.Timeout.Duration()
}

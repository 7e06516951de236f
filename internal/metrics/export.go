package metrics

import (
	"bytes"
	"fmt"
	"io"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"harrierramp/internal/gcstats"
)

// metric is the current value of one counter or gauge, with its StatsD name and its Prometheus name.
type metric struct {
	statsdName string
	name       string // without the namespace
	help       string
	labels     prometheus.Labels
	isCounter  bool
	value      float64
}

const namespace = "harrierramp_"

// snapshot returns the current value of every counter and gauge, in the order of the StatsD lines.
func (s *Set) snapshot() []metric {
	var out []metric
	counter := func(statsd, name, help string, labels prometheus.Labels, v int64) {
		out = append(out, metric{statsd, name, help, labels, true, float64(v)})
	}
	gauge := func(statsd, name, help string, v int64) {
		out = append(out, metric{statsd, name, help, nil, false, float64(v)})
	}
	const endedHelp = "Messages that have their final answer, by class and end."
	for i, class := range s.classes {
		counts := &s.outcomes[i]
		withOutcome := func(outcome string) prometheus.Labels { return prometheus.Labels{"class": class, "end": outcome} }
		counter("router.ok."+class, "messages_ended_total", endedHelp, withOutcome("delivered"), counts.delivered.Load())
		counter("router.shed."+class, "messages_ended_total", endedHelp, withOutcome("returned"), counts.shed.Load())
		counter("router.errors."+class, "messages_ended_total", endedHelp, withOutcome("failed"), counts.failed.Load())
	}
	counter("router.tries", "attempts_written_total", "Calls written whole to endpoints.", nil, s.Attempts.Load())
	gauge("router.active", "messages_active", "Messages taken on that have no final answer yet.", s.Active.Load())
	gauge("router.pool_size", "endpoints", "Endpoints in the list.", s.PoolSize.Load())
	gauge("router.pool_ejected", "endpoints_avoided", "Listed endpoints that are out by hand or struck by failures.", s.PoolEjected.Load())
	counter("router.client_unusable", "client_commands_unusable_total", "Commands on the clients' port that are no request.", nil, s.Clients.UnusableCommands.Load())
	counter("router.client_evicted", "client_connections_evicted_total", "Clients' connections ended for others.", nil, s.Clients.Evicted.Load())
	gauge("router.client_bytes", "client_request_bytes", "Bytes reserved for large requests that are read or wait for their answer.", s.Clients.RequestBytes.Load())
	gc := gcstats.Read()
	counter("router.gc_ms", "gc_cpu_milliseconds_total", "Processor time of the garbage collector.", nil, gc.CollectorTime.Milliseconds())
	counter("router.busy_ms", "busy_cpu_milliseconds_total", "Processor time of the process, that of the garbage collector included, as the runtime estimates it.", nil, gc.BusyTime.Milliseconds())
	counter("router.gc_cycles", "gc_cycles_total", "Garbage collections.", nil, gc.Collections)
	gauge("router.heap_live_bytes", "heap_live_bytes", "Heap in use after the last garbage collection.", gc.LiveBytes)
	gauge("router.runtime_bytes", "runtime_bytes", "Memory that the runtime holds.", gc.MemoryBytes)
	gauge("router.runtime_limit_bytes", "runtime_limit_bytes", "Memory from which on the runtime collects garbage without a pause; 0 for no limit.", gc.LimitBytes)
	if s.ListServiceEnabled {
		silentMS := time.Since(s.LastListActivity()).Milliseconds()
		gauge("router.list_revision", "list_revision", "Revision of the list that the node follows.", s.ListRevision.Load())
		gauge("router.list_silent_ms", "list_silent_milliseconds", "Since a list server's last line.", silentMS)
		counter("router.list_turns", "list_turns_total", "Watches that ended.", nil, s.ListWatchesEnded.Load())
		counter("router.list_older", "list_older_total", "Lists refused since they were older than what is known.", nil, s.OlderListsRefused.Load())
		counter("router.list_asks", "list_asks_total", "Asks for the list.", nil, s.ListRequests.Load())
		counter("router.list_later", "list_told_later_total", "Of those, asks that were told when to come.", nil, s.ListRequestsDeferred.Load())
		counter("router.gaps", "gaps_total", "Times that the process did not run for over a second; counted with the section audit.", nil, s.ProcessPauses.Load())
		counter("router.acts_lost", "acts_lost_total", "Lines of the record of acts that could not be written.", nil, s.AuditRecordsLost.Load())
		counter("router.shut_outs", "shut_outs_total", "Times that the node was shut out, since others acted on a later list and it could not follow.", nil, s.TimesFenced.Load())
		gauge("router.list_ahead", "list_ahead", "Revisions that others are ahead, as they say themselves; 0 for none.", s.PeersAheadBy.Load())
		gauge("router.start_list_ms", "start_list_milliseconds", "From the process's beginning to a server's first list; -1 for not yet.", s.firstListMS.Load()-1)
		gauge("router.start_call_ms", "start_call_milliseconds", "To the first call; -1 for not yet.", s.firstCallMS.Load()-1)
		gauge("router.start_delivery_ms", "start_delivery_milliseconds", "To the first delivery; -1 for not yet.", s.firstDeliveryMS.Load()-1)
		counter("router.list_doubted", "list_doubted_total", "Lists held back that lacked most of what was known.", nil, s.SuspiciousListsHeld.Load())
	}
	if s.MembershipEnabled {
		gauge("router.members_present", "members_present", "Nodes that are there.", s.present.Load())
		gauge("router.members_suspect", "members_suspect", "Of those, nodes that are silent.", s.suspect.Load())
		gauge("router.members_agreed_ms", "members_agreed_milliseconds", "Since another node had the same view; -1 for never.", s.lastAgreementAgoMS.Load())
		gauge("router.members_health", "members_health", "0 is good, up to 8 while this node is slow or hears nobody.", s.localHealth.Load())
		counter("router.members_refuted", "members_refuted_total", "Times that this node had to say that it is alive.", nil, s.refutations.Load())
		counter("router.members_probes", "members_probes_total", "Pings sent.", nil, s.probes.Load())
		counter("router.members_missed", "members_missed_total", "Pings without an answer.", nil, s.missedProbes.Load())
		counter("router.members_strange", "members_strange_total", "Datagrams that can't be read or name nobody.", nil, s.invalidDatagrams.Load())
		counter("router.members_strangers", "members_strangers_total", "Datagrams of no peer's address.", nil, s.UnknownSenders.Load())
	}
	return out
}

// StatsD returns the counters and gauges as StatsD lines.
func (s *Set) StatsD() []byte {
	var b bytes.Buffer
	for _, m := range s.snapshot() {
		kind := "g"
		if m.isCounter {
			kind = "c"
		}
		fmt.Fprintf(&b, "%s:%d|%s\n", m.statsdName, int64(m.value), kind)
	}
	return b.Bytes()
}

// Describe sends no descriptors, because the set of metrics depends on the configuration. It implements
// prometheus.Collector.
func (f *Set) Describe(chan<- *prometheus.Desc) {}

// Collect sends the current values. It implements prometheus.Collector.
func (s *Set) Collect(ch chan<- prometheus.Metric) {
	for _, m := range s.snapshot() {
		kind := prometheus.GaugeValue
		if m.isCounter {
			kind = prometheus.CounterValue
		}
		ch <- prometheus.MustNewConstMetric(prometheus.NewDesc(namespace+m.name, m.help, nil, m.labels), kind, m.value)
	}
	s.histograms.collect(ch)
}

// WriteMetrics writes all metrics in the Prometheus text format.
func (s *Set) WriteMetrics(w io.Writer) error {
	r := prometheus.NewRegistry()
	if err := r.Register(s); err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	families, err := r.Gather()
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	e := expfmt.NewEncoder(w, expfmt.NewFormat(expfmt.TypeTextPlain))
	for _, family := range families {
		if err := e.Encode(family); err != nil {
			return fmt.Errorf("metrics: %w", err)
		}
	}
	return nil
}

package metrics

import (
	"bytes"
	"fmt"
	"io"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
)

// figure is one number of a Set, under its two names: the platform's StatsD lines and Prometheus.
type figure struct {
	statsd  string
	name    string // without the namespace
	help    string
	labels  prometheus.Labels
	counter bool
	value   float64
}

const namespace = "harrierramp_"

// figures are all numbers of now, in the order of the StatsD lines.
func (f *Set) figures() []figure {
	var out []figure
	counter := func(statsd, name, help string, labels prometheus.Labels, v int64) {
		out = append(out, figure{statsd, name, help, labels, true, float64(v)})
	}
	gauge := func(statsd, name, help string, v int64) {
		out = append(out, figure{statsd, name, help, nil, false, float64(v)})
	}
	const ended = "Messages that have their final answer, by class and end."
	for i, class := range f.classes {
		e := &f.ends[i]
		end := func(how string) prometheus.Labels { return prometheus.Labels{"class": class, "end": how} }
		counter("router.ok."+class, "messages_ended_total", ended, end("delivered"), e.ok.Load())
		counter("router.shed."+class, "messages_ended_total", ended, end("returned"), e.shed.Load())
		counter("router.errors."+class, "messages_ended_total", ended, end("failed"), e.errors.Load())
	}
	counter("router.tries", "attempts_written_total", "Calls written whole to endpoints.", nil, f.Tries.Load())
	gauge("router.active", "messages_active", "Messages taken on that have no final answer yet.", f.Active.Load())
	gauge("router.pool_size", "endpoints", "Endpoints in the list.", f.PoolSize.Load())
	gauge("router.pool_ejected", "endpoints_avoided", "Listed endpoints that are out by hand or struck by failures.", f.PoolEjected.Load())
	if f.OwnList {
		silent := time.Since(f.ListHeard()).Milliseconds()
		gauge("router.list_revision", "list_revision", "Revision of the list that the node follows.", f.ListRevision.Load())
		gauge("router.list_silent_ms", "list_silent_milliseconds", "Since a list server's last line.", silent)
		counter("router.list_turns", "list_turns_total", "Watches that ended.", nil, f.ListTurns.Load())
		counter("router.list_older", "list_older_total", "Lists refused since they were older than what is known.", nil, f.ListOlder.Load())
		counter("router.list_asks", "list_asks_total", "Asks for the list.", nil, f.ListAsks.Load())
		counter("router.list_later", "list_told_later_total", "Of those, asks that were told when to come.", nil, f.ListLater.Load())
		counter("router.gaps", "gaps_total", "Times that the process did not run for over a second; counted with the section audit.", nil, f.Gaps.Load())
		counter("router.acts_lost", "acts_lost_total", "Lines of the record of acts that could not be written.", nil, f.ActsLost.Load())
		counter("router.shut_outs", "shut_outs_total", "Times that the node was shut out, since others acted on a later list and it could not follow.", nil, f.ShutOuts.Load())
		gauge("router.list_ahead", "list_ahead", "Revisions that others are ahead, as they say themselves; 0 for none.", f.ListAhead.Load())
		gauge("router.start_list_ms", "start_list_milliseconds", "From the process's beginning to a server's first list; -1 for not yet.", f.startList.Load()-1)
		gauge("router.start_call_ms", "start_call_milliseconds", "To the first call; -1 for not yet.", f.startCall.Load()-1)
		gauge("router.start_delivery_ms", "start_delivery_milliseconds", "To the first delivery; -1 for not yet.", f.startDelivery.Load()-1)
		counter("router.list_doubted", "list_doubted_total", "Lists held back that lacked most of what was known.", nil, f.ListDoubted.Load())
	}
	if f.Fellows {
		gauge("router.members_present", "members_present", "Nodes that are there.", f.present.Load())
		gauge("router.members_suspect", "members_suspect", "Of those, nodes that are silent.", f.suspects.Load())
		gauge("router.members_agreed_ms", "members_agreed_milliseconds", "Since another node had the same view; -1 for never.", f.agreedAgo.Load())
		gauge("router.members_health", "members_health", "0 is good, up to 8 while this node is slow or hears nobody.", f.health.Load())
		counter("router.members_refuted", "members_refuted_total", "Times that this node had to say that it is alive.", nil, f.refuted.Load())
		counter("router.members_probes", "members_probes_total", "Pings sent.", nil, f.probes.Load())
		counter("router.members_missed", "members_missed_total", "Pings without an answer.", nil, f.missed.Load())
		counter("router.members_strange", "members_strange_total", "Datagrams that can't be read or name nobody.", nil, f.strange.Load())
		counter("router.members_strangers", "members_strangers_total", "Datagrams of no peer's address.", nil, f.Strangers.Load())
	}
	return out
}

// Text writes the figures as StatsD lines.
func (f *Set) Text() []byte {
	var b bytes.Buffer
	for _, one := range f.figures() {
		kind := "g"
		if one.counter {
			kind = "c"
		}
		fmt.Fprintf(&b, "%s:%d|%s\n", one.statsd, int64(one.value), kind)
	}
	return b.Bytes()
}

// Describe sends nothing: which figures there are hangs on the configuration. (prometheus.Collector)
func (f *Set) Describe(chan<- *prometheus.Desc) {}

// Collect sends the numbers of now. (prometheus.Collector)
func (f *Set) Collect(to chan<- prometheus.Metric) {
	for _, one := range f.figures() {
		kind := prometheus.GaugeValue
		if one.counter {
			kind = prometheus.CounterValue
		}
		to <- prometheus.MustNewConstMetric(prometheus.NewDesc(namespace+one.name, one.help, nil, one.labels), kind, one.value)
	}
	f.times.collect(to)
}

// WriteMetrics writes everything in the Prometheus text format.
func (f *Set) WriteMetrics(w io.Writer) error {
	r := prometheus.NewRegistry()
	if err := r.Register(f); err != nil {
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

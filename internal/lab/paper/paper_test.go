package paper

import (
	"math"
	"testing"
)

// Uniform selection without state is a Jackson network: the play and the closed form are within 2%.
func TestMeanResponseTimeMatchesJacksonNetwork(t *testing.T) {
	for _, load := range []float64{0.3, 0.6, 0.75} {
		got, n := 0.0, 3
		for seed := range n {
			got += Run(Config{Proxies: 4, Servers: 4, Load: load, Selection: "uniform", Sessions: 200_000, MessagesPerSession: 1, Seed: uint64(seed)}).Mean / float64(n)
		}
		// The rates differ by proxy; their spread moves the proxies' part by little.
		each := load
		want := jacksonResponseTime([]float64{each, each, each, each}, 4, proxyCapacityFactor)
		if diff := math.Abs(got-want) / want; diff > 0.02 {
			t.Errorf("load %v: %.4f, in closed form %.4f, %.1f%% off", load, got, want, 100*diff)
		} else {
			t.Logf("load %v: %.4f, in closed form %.4f, %.2f%% off", load, got, want, 100*diff)
		}
	}
	if !math.IsInf(jacksonResponseTime([]float64{4}, 4, 16), 1) {
		t.Error("a full load has an end")
	}
}

func TestSameConfigGivesSameResult(t *testing.T) {
	cfg := Config{Proxies: 4, Servers: 4, Load: 1.1, Selection: "lrt", Control: "bbc60-80", Sessions: 20_000, MessagesPerSession: 3, QueueLimit: 400, FeedbackInterval: 2, Seed: 9}
	if a, b := Run(cfg), Run(cfg); a != b {
		t.Errorf("%+v, and %+v", a, b)
	}
	if r := Run(Config{Proxies: 1, Servers: 1, Sessions: 0, MessagesPerSession: 1}); r.Rejected != 0 || r.Mean != 0 {
		t.Errorf("nobody came, and %+v", r)
	}
}

// jackson is the mean response time of sessions of one message in closed form, for uniform selection with no bound on
// the queues: each station is an M/M/1 queue (Kleinrock). Rates are the proxies' arrivals; it is infinite where a
// station is overloaded.
func jacksonResponseTime(rates []float64, servers int, proxyRate float64) float64 {
	total, mean := 0.0, 0.0
	for _, r := range rates {
		total += r
	}
	each := total / float64(servers)
	if each >= 1 {
		return math.Inf(1)
	}
	for _, r := range rates {
		if r >= proxyRate {
			return math.Inf(1)
		}
		mean += r / total * (1/(proxyRate-r) + 1/(1-each))
	}
	return mean
}

package paper

import (
	"math"
	"testing"
)

// With uniform selection and sessions of one message the system is a Jackson network. The mean response time of the
// simulation must be within 2% of the closed form.
func TestMeanResponseTimeMatchesJacksonNetwork(t *testing.T) {
	for _, load := range []float64{0.3, 0.6, 0.75} {
		got, n := 0.0, 3
		for seed := range n {
			got += Run(Config{Proxies: 4, Servers: 4, Load: load, Selection: "uniform", Sessions: 200_000, MessagesPerSession: 1, Seed: uint64(seed)}).Mean / float64(n)
		}
		// The simulated arrival rates differ by proxy, but their spread has little effect on the delay at the proxies.
		rate := load
		want := jacksonResponseTime([]float64{rate, rate, rate, rate}, 4, proxyCapacityFactor)
		if diff := math.Abs(got-want) / want; diff > 0.02 {
			t.Errorf("load %v: simulated %.4f, closed form %.4f, %.1f%% off", load, got, want, 100*diff)
		} else {
			t.Logf("load %v: simulated %.4f, closed form %.4f, %.2f%% off", load, got, want, 100*diff)
		}
	}
	if !math.IsInf(jacksonResponseTime([]float64{4}, 4, 16), 1) {
		t.Error("the response time at full load is not infinite")
	}
}

// A run is deterministic, and a run without sessions has a zero result.
func TestSameConfigGivesSameResult(t *testing.T) {
	cfg := Config{Proxies: 4, Servers: 4, Load: 1.1, Selection: "lrt", Control: "bbc60-80", Sessions: 20_000, MessagesPerSession: 3, QueueLimit: 400, FeedbackInterval: 2, Seed: 9}
	if a, b := Run(cfg), Run(cfg); a != b {
		t.Errorf("two runs of the same configuration differ: %+v and %+v", a, b)
	}
	if r := Run(Config{Proxies: 1, Servers: 1, Sessions: 0, MessagesPerSession: 1}); r.Rejected != 0 || r.Mean != 0 {
		t.Errorf("result of a run without sessions: %+v, want zero", r)
	}
}

// jacksonResponseTime returns the mean response time of sessions of one message in closed form, for uniform selection
// and unlimited queues: each station is an M/M/1 queue (Kleinrock). rates are the arrival rates of the proxies. The
// result is infinite if a station is overloaded.
func jacksonResponseTime(rates []float64, servers int, proxyRate float64) float64 {
	total, mean := 0.0, 0.0
	for _, r := range rates {
		total += r
	}
	serverRate := total / float64(servers)
	if serverRate >= 1 {
		return math.Inf(1)
	}
	for _, r := range rates {
		if r >= proxyRate {
			return math.Inf(1)
		}
		mean += r / total * (1/(proxyRate-r) + 1/(1-serverRate))
	}
	return mean
}

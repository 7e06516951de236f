package main

import (
	"fmt"
	"os"
	"time"
)

// cases are the tests by name. A case returns what it saw of broken rules.
var cases = map[string]func(r *Rig, trouble bool) (broken []string, err error){}

// testLimit ends a test that does not end by itself. The processes that it started end with it.
const testLimit = 110 * time.Second

// Exit codes.
const (
	held     = 0
	wasWrong = 1
	notRun   = 2
)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(notRun)
	}
	r, err := newRig(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	time.AfterFunc(testLimit, func() {
		r.logf("could not run: the test did not end by itself")
		r.close()
		os.Exit(notRun)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	r.logf("case %s, disruption: %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](r, trouble)
	code := held
	switch {
	case err != nil:
		r.logf("could not run: %v", err)
		fmt.Println("could not run:", err)
		code = notRun
	case len(broken) > 0:
		for _, b := range broken {
			r.logf("BROKEN    %s", b)
			fmt.Println("BROKEN:", b)
		}
		code = wasWrong
	default:
		r.logf("the rule held")
		fmt.Println("the rule held")
	}
	r.close()
	os.Exit(code)
}

// settings are those of a small deployment: the example of WIRE, for a single node, with the shorter deadlines of the
// days called brink.
func settings(slots, maxOpen int) map[string]any {
	return map[string]any{
		"fleetSize": 1, "myNumber": 0, "failureDomains": []string{"bloc-a", "bloc-b"}, "flavors": []string{"major-portal", "employer"},
		"discovery": "pushed", "weights": "nominal", "overShareWorth": 0.2, "tick": 5.0, "tier": 0, "tiers": []string{"partner-systems"},
		"worthBy": "request", "zone": 0, "kindOfService": "deliver",
		"domain": map[string]any{"workers": slots, "decay": "line", "separateRoutes": []bool{true, false}, "kindBatch": []int{1, 1},
			"feeByZone": []float64{0, 0}, "refusedPrice": 0.03},
		"limits": map[string]any{"cancel": true, "connIdle": 15000.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 50000, "dialTimeout": 1500.0,
			"maxAttempts": 12, "maxOpen": maxOpen, "maxRetryAfter": 3000.0, "mayDuplicate": false, "mayTell": false, "probes": true,
			"retryAfter": true, "streamsPerConn": 1},
		"contract": map[string]any{"coldFrom": 0.17, "fall": 3000.0, "fallMultiple": 2.5, "graceToAnswer": 20.0, "mustAskIn": 10000.0,
			"stopSendingWithin": 1000.0, "warmWithin": 9300.0},
		"categories": []map[string]any{
			{"name": "application", "effect": "deduplicated", "group": "zone", "aim": 1500.0, "deadline": 5000.0, "lateWorth": 0.3, "window": 15000.0, "worth": 1.0, "stream": false},
			{"name": "posting-status", "effect": "idempotent", "group": "all", "aim": 1000.0, "deadline": 4000.0, "lateWorth": 0.3, "window": 5000.0, "worth": 3.0, "stream": false},
		},
		"customers": []map[string]any{{"allowancePerS": 25.0, "name": "emploi-jeunes", "share": 0.5}, {"allowancePerS": 25.0, "name": "karama", "share": 0.5}},
		"report":    map[string]any{"fields": []string{}, "how": "silent"},
	}
}

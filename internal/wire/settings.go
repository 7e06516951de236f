package wire

import (
	"encoding/json"
	"fmt"

	"harrierramp/choice"
	"harrierramp/internal/units"
)

// Conf has the settings of a deployment, as in the Born line of the simulator's protocol and in the configuration
// file of a node. The platform writes them as JSON, people write them as TOML with longer keys; both are decoded into
// this type. A value that is zero was not given.
type Conf struct {
	FleetSize      int          `json:"fleetSize" toml:"fleet_size" default:"1" min:"1" max:"100000" doc:"nodes altogether"`
	Number         int          `json:"myNumber" toml:"number" min:"0" max:"99999" doc:"this node's place among the peers, from 0"`
	Zones          []string     `json:"failureDomains" toml:"zones" doc:"names of the zones, as the list says them in locality"`
	Kinds          []string     `json:"flavors" toml:"kinds" doc:"names of the kinds of destination, as the list says them in flavor"`
	Discovery      string       `json:"discovery" toml:"list" default:"pushed" one:"pushed on_request" doc:"how changes of the list come"`
	Weights        string       `json:"weights" toml:"weights" one:"none nominal rough" doc:"what size in the list says: nothing, a rate in calls a second, or about that"`
	OverQuotaWorth float64      `json:"overShareWorth" toml:"over_share_worth" default:"0.2" min:"0" max:"1" doc:"worth of what a tenant sends beyond its share"`
	Tick           units.Millis `json:"tick" toml:"tick" default:"5ms" min:"1ms" max:"1s" doc:"how often a node looks at what has come"`
	Calls          struct {
		Slots          int       `json:"workers" toml:"slots" default:"64" min:"1" max:"100000" doc:"calls out at once"`
		WorthDecay     string    `json:"decay" toml:"late" default:"line" one:"line halves" doc:"how worth falls after the aim"`
		SeparateRoutes []bool    `json:"separateRoutes" toml:"separate_routes" doc:"for each kind: endpoints are routes with limits of their own"`
		MaxBatch       []int     `json:"kindBatch" toml:"batch" doc:"for each kind: messages in one call at most"`
		ZoneFee        []float64 `json:"feeByZone" toml:"zone_fee" doc:"for each zone: what a message to a separate route there costs"`
	} `json:"domain" toml:"calls"`
	Limits struct {
		DialTimeout     units.Millis `json:"dialTimeout" toml:"dial_timeout" default:"1s" min:"10ms" max:"1m" doc:"for a connection to come up"`
		IdleConnTimeout units.Millis `json:"connIdle" toml:"idle_timeout" default:"15s" min:"100ms" max:"1h" doc:"endpoints close connections that stand idle so long"`
		MaxAttempts     int          `json:"maxAttempts" toml:"attempts" default:"12" min:"1" max:"1000" doc:"calls for one message at most"`
		MaxOpenMessages int          `json:"maxOpen" toml:"open_messages" default:"2000" min:"1" max:"10000000" doc:"messages held at most, sent or not"`
		MaxRetryAfter   units.Millis `json:"maxRetryAfter" toml:"longest_wait" default:"3s" min:"0s" max:"1h" doc:"the longest wait that clients heed"`
		Probes          bool         `json:"probes" toml:"probes" doc:"endpoints may be probed"`
		Cancel          bool         `json:"cancel" toml:"cancel" default:"true" doc:"calls may be given up"`
		MayDuplicate    bool         `json:"mayDuplicate" toml:"overlap" doc:"two attempts of one message may be out at once"`
		RetryAfter      bool         `json:"retryAfter" toml:"tell_wait" default:"true" doc:"a refusal says when to come back"`
		Datagrams       bool         `json:"mayTell" toml:"notes" doc:"nodes may send one another datagrams"`
	} `json:"limits" toml:"limits"`
	Contract struct {
		AnswerGrace         units.Millis `json:"graceToAnswer" toml:"answer_grace" default:"20ms" min:"0s" max:"10s" doc:"a final answer may be so late"`
		ListRequestInterval units.Millis `json:"mustAskIn" toml:"ask_list_within" default:"10s" min:"0s" max:"1h" doc:"the list is asked for at least so often"`
		ColdCapacity        float64      `json:"coldFrom" toml:"cold_from" default:"0.2" min:"0" max:"1" doc:"share of its capacity that a destination has when it returns"`
		WarmUpTime          units.Millis `json:"warmWithin" toml:"warm_within" default:"10s" min:"0s" max:"1h" doc:"until it has all of it"`
		DrainTimeout        units.Millis `json:"stopSendingWithin" toml:"stop_sending_within" default:"1s" min:"0s" max:"1m" doc:"after the list says that an endpoint drains"`
		OverloadMultiple    float64      `json:"fallMultiple" toml:"fall_multiple" default:"2.5" min:"1" max:"100" doc:"a cold destination falls over above this multiple of its capacity,"`
		OverloadDuration    units.Millis `json:"fall" toml:"fall_within" default:"3s" min:"0s" max:"10m" doc:"sent for so long"`
		OrderedPause        units.Millis `json:"orderSettle" toml:"order_settle" min:"0s" max:"1m" doc:"ordered classes: pause between two of one key"`
	} `json:"contract" toml:"contract"`
	Classes []struct {
		Name        string       `json:"name" toml:"name" need:"yes" doc:"as clients write it in c="`
		Aim         units.Millis `json:"aim" toml:"aim" need:"yes" min:"1ms" max:"24h" doc:"full worth until so long after the hand-in"`
		AimStretch  float64      `json:"aimStretch" toml:"aim_stretch" min:"0" max:"1000" doc:"extra aim, as a multiple of the message's hint"`
		Deadline    units.Millis `json:"deadline" toml:"deadline" need:"yes" min:"1ms" max:"24h" doc:"worth nothing afterwards"`
		Effect      string       `json:"effect" toml:"effect" need:"yes" one:"idempotent deduplicated at_most_once" doc:"what a repeat does at its destination"`
		DedupGroup  string       `json:"group" toml:"group" one:"all zone" doc:"deduplicated: who drops repeats, all endpoints or those of one zone"`
		Ordered     bool         `json:"fifoByKey" toml:"ordered" doc:"messages of one key take turns"`
		LateWorth   float64      `json:"lateWorth" toml:"late_worth" min:"0" max:"1" doc:"share of the worth that is left at the deadline"`
		DedupWindow units.Millis `json:"window" toml:"window" min:"0s" max:"720h" doc:"deduplicated: how long repeats are dropped"`
		Worth       float64      `json:"worth" toml:"worth" min:"0" max:"1000000" doc:"of one message, next to other classes"`
	} `json:"categories" toml:"class" doc:"the classes of messages; one at least"`
	Tenants []struct {
		Name      string  `json:"name" toml:"name" need:"yes" doc:"as clients write it in t="`
		PerSecond float64 `json:"allowancePerS" toml:"per_second" min:"0" max:"1000000000" doc:"messages a second inside its share, of all nodes together"`
	} `json:"customers" toml:"tenant" doc:"who hands messages in"`
}

var effects = map[string]choice.Effect{
	"idempotent": choice.Idempotent, "deduplicated": choice.Deduplicated, "at_most_once": choice.AtMostOnce,
}

// Settings converts the settings of a Born line.
func Settings(raw json.RawMessage) (choice.Settings, error) {
	var c Conf
	if err := json.Unmarshal(raw, &c); err != nil {
		return choice.Settings{}, fmt.Errorf("settings: %w", err)
	}
	return c.Settings()
}

// Settings converts the configuration to the settings of package choice.
func (c *Conf) Settings() (choice.Settings, error) {
	s := choice.Settings{
		FleetSize: c.FleetSize, Number: c.Number, PeerDatagrams: c.Limits.Datagrams, Slots: c.Calls.Slots, MaxOpenMessages: c.Limits.MaxOpenMessages,
		MaxAttempts: c.Limits.MaxAttempts, MayDuplicate: c.Limits.MayDuplicate, MayProbe: c.Limits.Probes,
		MayCancel: c.Limits.Cancel, ListOnRequest: c.Discovery == "on_request",
		WorthHalves:        c.Calls.WorthDecay == "halves",
		ApproximateWeights: c.Weights == "rough", WeightIsRate: c.Weights == "rough" || c.Weights == "nominal",
		OverQuotaWorth: c.OverQuotaWorth, ZoneFee: c.Calls.ZoneFee, Tick: c.Tick.Duration(),
		DialTimeout: c.Limits.DialTimeout.Duration(), IdleConnTimeout: c.Limits.IdleConnTimeout.Duration(),
		DrainTimeout: c.Contract.DrainTimeout.Duration(),
		AnswerGrace:  c.Contract.AnswerGrace.Duration(), OverloadMultiple: c.Contract.OverloadMultiple,
		OverloadDuration: c.Contract.OverloadDuration.Duration(), ColdCapacity: c.Contract.ColdCapacity, WarmUpTime: c.Contract.WarmUpTime.Duration(),
		OrderedPause: c.Contract.OrderedPause.Duration(), ListRequestInterval: c.Contract.ListRequestInterval.Duration(),
	}
	if c.Limits.RetryAfter {
		s.MaxRetryAfter = c.Limits.MaxRetryAfter.Duration()
	}
	for i, k := range c.Classes {
		effect, ok := effects[k.Effect]
		if !ok {
			return s, fmt.Errorf("settings: class %d has unknown effect %q", i, k.Effect)
		}
		s.Classes = append(s.Classes, choice.Class{
			Aim: k.Aim.Duration(), AimStretch: k.AimStretch, Deadline: k.Deadline.Duration(), Worth: k.Worth,
			LateWorth: k.LateWorth, Effect: effect, DedupWindow: k.DedupWindow.Duration(), AllEndpointsDeduplicate: k.DedupGroup == "all",
			Ordered: k.Ordered,
		})
	}
	for i := range max(len(c.Calls.SeparateRoutes), len(c.Calls.MaxBatch)) {
		var k choice.Kind
		if i < len(c.Calls.SeparateRoutes) {
			k.SeparateRoutes = c.Calls.SeparateRoutes[i]
		}
		if i < len(c.Calls.MaxBatch) {
			k.MaxBatch = c.Calls.MaxBatch[i]
		}
		s.Kinds = append(s.Kinds, k)
	}
	for _, t := range c.Tenants {
		s.Tenants = append(s.Tenants, choice.Tenant{PerSecond: t.PerSecond})
	}
	return s, nil
}

// Names are the names that the configuration gives to classes, kinds, zones and tenants. The index of a name is the
// number that package choice uses for it.
type Names struct {
	Classes, Kinds, Zones, Tenants []string
}

// Names returns the names in the configuration.
func (c *Conf) Names() Names {
	n := Names{Kinds: c.Kinds, Zones: c.Zones}
	for _, k := range c.Classes {
		n.Classes = append(n.Classes, k.Name)
	}
	for _, k := range c.Tenants {
		n.Tenants = append(n.Tenants, k.Name)
	}
	return n
}

package client

// rolloutOrder is the request body of a roll-out order.
type rolloutOrder struct {
	Service string  `json:"carrier"`
	Target  string  `json:"target"`
	Seconds float64 `json:"over_s"`
}

// Rollout is a service's newest roll-out, as a core member describes it.
type Rollout struct {
	State   string         `json:"state"` // in_transit, delivered or returned
	Target  string         `json:"target"`
	Step    string         `json:"step,omitempty"` // canary, load, ramp or full, while it is in progress
	Verdict RolloutVerdict `json:"verdict"`
	Retired []string       `json:"retired,omitempty"` // versions that get no more requests
}

// RolloutVerdict holds the counts that the newest decision on a roll-out is based on and, for a rollback, its reason.
type RolloutVerdict struct {
	Reason   string       `json:"reason,omitempty"` // why the roll-out is "returned"
	Route    string       `json:"route,omitempty"`  // the route whose counts gave the reason; empty: all routes together
	Target   AnswerCounts `json:"target"`           // from endpoints of the target
	Baseline AnswerCounts `json:"baseline"`         // from endpoints of the versions in force, over the same period
}

// AnswerCounts counts answers of endpoints.
type AnswerCounts struct {
	Answers int `json:"answers"`
	Failed  int `json:"failed"`
	Timed   int `json:"timed"` // answers whose duration is compared with the expected one
	Slow    int `json:"slow"`  // timed answers that took several times as long as expected
}

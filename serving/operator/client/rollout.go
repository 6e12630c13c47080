package client

// rolloutOrder is the body of the order of a roll-out.
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
	Retired []string       `json:"retired,omitempty"` // versions that get nothing any more
}

// RolloutVerdict says what the newest decision on a roll-out rests on.
type RolloutVerdict struct {
	Reason   string       `json:"reason,omitempty"` // of a return
	Route    string       `json:"route,omitempty"`  // that showed it; empty: all together
	Target   AnswerCounts `json:"target"`
	Baseline AnswerCounts `json:"baseline"` // by the versions in force in the same time
}

// AnswerCounts counts answers of endpoints.
type AnswerCounts struct {
	Answers int `json:"answers"`
	Failed  int `json:"failed"`
	Timed   int `json:"timed"`
	Slow    int `json:"slow"` // of the timed ones
}

package deliverycheck_test

import (
	"fmt"

	"rowanlink/test/checker/deliverycheck"
	"rowanlink/webhook/api"
)

const ms = api.Second / 1000

func terms() deliverycheck.Requirements {
	return deliverycheck.Requirements{
		EventTypes: map[string]api.EventType{
			"status": {Semantics: api.Idempotent},
			"paid":   {Semantics: api.Deduplicated, DedupWindow: 8000 * ms},
			"charge": {Semantics: api.AtMostOnce},
			"ride":   {Semantics: api.Idempotent, Ordered: true},
		},
		Settings: api.Settings{MaxRetryAfter: 3000 * ms, SlowStartCapacity: 0.2, SlowStartDuration: 4000 * ms, OverloadFactor: 2,
			OverloadDuration: 1000 * ms},
		Slack: 500 * ms, DrainGrace: 550 * ms, NotifiedWithin: 6000 * ms, WaitGrace: 100 * ms,
	}
}

// story is what a ledger is told, in milliseconds.
type story struct{ *deliverycheck.Checker }

func (s story) hand(at api.Micros, id, class string, code int, more ...string) {
	h := deliverycheck.Submission{At: at * ms, ID: id, Member: "m1", Destinations: []api.DestinationID{3}, Type: class,
		TTL: 9000 * ms}
	if len(more) > 0 {
		h.Key = more[0]
	}
	if len(more) > 1 {
		h.RetryOf = more[1]
	}
	s.RecordSubmission(h)
	s.RecordResponse(at*ms+1, id, code)
}

func (s story) call(from, to api.Micros, member, id string, how ...string) {
	c := s.RecordCall(deliverycheck.Call{At: from * ms, Member: member, Endpoint: "e", Destination: 3, IDs: []string{id}})
	switch fmt.Sprint(how) {
	case "[]":
		s.RecordEffect(to*ms, c, id)
		s.RecordCallEnd(to*ms, c, 0, id)
	case "[ran]":
		s.RecordEffect(to*ms, c, id)
		s.RecordCallEnd(to*ms, c, 0)
	case "[wait]":
		s.RecordCallEnd(to*ms, c, 1000*ms)
	case "[turned away]":
		s.RecordCallEnd(to*ms, c, 0)
	case "[out]":
	}
}

// returns has so many calls come, by two members in turn, in the first second after a return.
func (s story) returns(n int) {
	s.RecordOutage(0, 3)
	s.RecordRecovery(1000*ms, 3, 20)
	for i := range n {
		id := fmt.Sprint("c", i)
		s.hand(0, id, "status", 202)
		at := 1000 + api.Micros(i)*60
		s.call(at, at+1, fmt.Sprint("m", i%2), id)
	}
}

// across has two webhooks of a key handed in at two members, and the second called first.
func (s story) across() {
	s.hand(0, "a", "ride", 202, "k")
	s.RecordSubmission(deliverycheck.Submission{At: 5 * ms, ID: "b", Member: "m2", Destinations: []api.DestinationID{3},
		Type: "ride", Key: "k",
		TTL: 9000 * ms})
	s.RecordResponse(6*ms, "b", 202)
	s.call(7, 8, "m2", "b")
	s.call(9, 10, "m2", "a")
}

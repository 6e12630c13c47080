package deliverycheck_test

import (
	"fmt"

	"rowanlink/test/checker/deliverycheck"
	"rowanlink/webhook/api"
)

const millisecond = api.Second / 1000

func requirements() deliverycheck.Requirements {
	return deliverycheck.Requirements{
		EventTypes: map[string]api.EventType{
			"status": {Semantics: api.Idempotent},
			"paid":   {Semantics: api.Deduplicated, DedupWindow: 8000 * millisecond},
			"charge": {Semantics: api.AtMostOnce},
			"ride":   {Semantics: api.Idempotent, Ordered: true},
		},
		Settings: api.Settings{
			MaxRetryAfter:     3000 * millisecond,
			SlowStartCapacity: 0.2,
			SlowStartDuration: 4000 * millisecond,
			OverloadFactor:    2,
			OverloadDuration:  1000 * millisecond,
		},
		Slack:          500 * millisecond,
		DrainGrace:     550 * millisecond,
		NotifiedWithin: 6000 * millisecond,
		WaitGrace:      100 * millisecond,
	}
}

// scenario records events in a checker, in milliseconds.
type scenario struct{ *deliverycheck.Checker }

// submit records a submission and its response. more is the key, and the ID that it is a retry of.
func (s scenario) submit(at api.Micros, id, class string, code int, more ...string) {
	h := deliverycheck.Submission{
		At:           at * millisecond,
		ID:           id,
		Member:       "m1",
		Destinations: []api.DestinationID{3},
		Type:         class,
		TTL:          9000 * millisecond,
	}
	if len(more) > 0 {
		h.Key = more[0]
	}
	if len(more) > 1 {
		h.RetryOf = more[1]
	}
	s.RecordSubmission(h)
	s.RecordResponse(at*millisecond+1, id, code)
}

// submitAnnouncement submits the announcement "a" to two subscribers.
func (s scenario) submitAnnouncement() {
	s.RecordSubmission(deliverycheck.Submission{
		ID:           "a",
		Member:       "m1",
		Destinations: []api.DestinationID{3, 4},
		Type:         "status",
	})
	s.RecordResponse(1, "a", 202)
}

// call records a call with a webhook. how is its outcome; delivered if it is missing.
func (s scenario) call(from, to api.Micros, member, id string, how ...string) {
	c := s.RecordCall(deliverycheck.Call{
		At:          from * millisecond,
		Member:      member,
		Endpoint:    "e",
		Destination: 3,
		IDs:         []string{id},
	})
	switch fmt.Sprint(how) {
	case "[]":
		s.RecordEffect(to*millisecond, c, id)
		s.RecordCallEnd(to*millisecond, c, 0, id)
	case "[took effect]":
		s.RecordEffect(to*millisecond, c, id)
		s.RecordCallEnd(to*millisecond, c, 0)
	case "[retry-after]":
		s.RecordCallEnd(to*millisecond, c, 1000*millisecond)
	case "[rejected]":
		s.RecordCallEnd(to*millisecond, c, 0)
	case "[in flight]":
	}
}

// recover records calls by two members, alternating, in the first second after an outage.
func (s scenario) recover(n int) {
	s.RecordOutage(0, 3)
	s.RecordRecovery(1000*millisecond, 3, 20)
	for i := range n {
		id := fmt.Sprint("c", i)
		s.submit(0, id, "status", 202)
		at := 1000 + api.Micros(i)*60
		s.call(at, at+1, fmt.Sprint("m", i%2), id)
	}
}

// submitAtTwoMembers submits two webhooks of a key at two members, and calls with the second first.
func (s scenario) submitAtTwoMembers() {
	s.submit(0, "a", "ride", 202, "k")
	s.RecordSubmission(deliverycheck.Submission{
		At:           5 * millisecond,
		ID:           "b",
		Member:       "m2",
		Destinations: []api.DestinationID{3},
		Type:         "ride",
		Key:          "k",
		TTL:          9000 * millisecond,
	})
	s.RecordResponse(6*millisecond, "b", 202)
	s.call(7, 8, "m2", "b")
	s.call(9, 10, "m2", "a")
}

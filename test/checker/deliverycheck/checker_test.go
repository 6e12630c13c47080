package deliverycheck_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/test/checker/deliverycheck"
	"rowanlink/webhook/api"
)

// Beside each scenario that violates a rule is one that only just doesn't.
func TestChecker_FindsEachViolationAndAcceptsItsEdge(t *testing.T) {
	for _, c := range []struct {
		name   string
		record func(s scenario)
		want   string
	}{
		{"delivered", func(s scenario) { s.submit(0, "a", "status", 202); s.call(1, 2, "m1", "a") }, "[]"},
		{"told", func(s scenario) { s.submit(0, "a", "status", 202); s.RecordNotice(9, "m2", "a", "given_up") }, "[]"},
		{"neither", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.call(1, 2, "m1", "a", "turned away")
		}, "[lost]"},
		{"refused", func(s scenario) { s.submit(0, "a", "status", 503) }, "[]"},
		{"no answer", func(s scenario) { s.submit(0, "a", "status", 0) }, "[]"},
		{"not yet due", func(s scenario) { s.submit(15000, "a", "status", 202) }, "[]"},
		{"one subscriber of two", func(s scenario) {
			s.RecordSubmission(deliverycheck.Submission{
				ID:           "a",
				Member:       "m1",
				Destinations: []api.DestinationID{3, 4},
				Type:         "status",
			})
			s.RecordResponse(1, "a", 202)
			s.call(1, 2, "m1", "a")
		}, "[lost]"},
		{"the other is told of", func(s scenario) {
			s.RecordSubmission(deliverycheck.Submission{
				ID:           "a",
				Member:       "m1",
				Destinations: []api.DestinationID{3, 4},
				Type:         "status",
			})
			s.RecordResponse(1, "a", 202)
			s.call(1, 2, "m1", "a")
			s.RecordNotice(9, "m2", "a", "given_up", 4)
		}, "[]"},
		{"on a folder whose member is down", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.RecordMemberDown(1, "m2", true)
		}, "[]"},
		{"taken on after it went down", func(s scenario) {
			s.RecordMemberDown(1, "m2", true)
			s.submit(2, "a", "status", 202)
		}, "[lost]"},
		{"back for long", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.RecordMemberDown(1, "m2", true)
			s.RecordMemberUp(9000*millisecond, "m2")
		}, "[lost]"},
		{"just back", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.RecordMemberDown(1, "m2", true)
			s.RecordMemberUp(19800*millisecond, "m2")
		}, "[]"},
		{"folder lost", func(s scenario) { s.submit(0, "a", "status", 202); s.ForgiveOutstanding(5) }, "[]"},
		{"idempotent twice", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.call(1, 2, "m1", "a", "ran")
			s.call(3, 4, "m2", "a")
		}, "[]"},
		{"at-most-once twice", func(s scenario) {
			s.submit(0, "a", "charge", 202)
			s.call(1, 2, "m1", "a", "ran")
			s.call(3, 4, "m2", "a")
		}, "[second effect]"},
		{"tokened within its window is dropped there", func(s scenario) {
			s.submit(0, "a", "paid", 202)
			s.call(1, 2, "m1", "a", "ran")
			s.call(7000, 7001, "m2", "a")
		}, "[]"},
		{"tokened outside", func(s scenario) {
			s.submit(0, "a", "paid", 202)
			s.call(1, 2, "m1", "a", "ran")
			s.call(8005, 8006, "m2", "a")
		}, "[second effect]"},
		{"refused, yet it ran", func(s scenario) {
			s.submit(0, "a", "charge", 503)
			s.call(1, 2, "m1", "a")
		}, "[second effect]"},
		{"handed back, yet it ran", func(s scenario) {
			s.submit(0, "a", "charge", 202)
			s.call(1, 2, "m1", "a", "ran")
			s.RecordNotice(9*millisecond, "m1", "a", "handed_back")
		}, "[second effect]"},
		{"again after a refusal, both ran", func(s scenario) {
			s.submit(0, "a", "charge", 202)
			s.call(1, 2, "m1", "a", "ran")
			s.RecordNotice(9*millisecond, "m1", "a", "handed_back")
			s.submit(10, "b", "charge", 202, "", "a")
			s.call(11, 12, "m1", "b")
		}, "[second effect second effect]"},
		{"two calls at once", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.call(1, 9, "m1", "a")
			s.call(5, 6, "m2", "a")
		}, "[overlap]"},
		{"out for good", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.call(1, 0, "m1", "a", "out")
			s.call(5, 6, "m2", "a")
		}, "[overlap]"},
		{"in turn", func(s scenario) {
			s.submit(0, "a", "ride", 202, "k")
			s.submit(5, "b", "ride", 202, "k")
			s.call(6, 7, "m1", "a", "turned away")
			s.call(8, 9, "m1", "a")
			s.call(9, 10, "m1", "b")
		}, "[]"},
		{"overtaken", func(s scenario) {
			s.submit(0, "a", "ride", 202, "k")
			s.submit(5, "b", "ride", 202, "k")
			s.call(6, 7, "m1", "a", "turned away")
			s.call(8, 9, "m2", "b")
			s.call(10, 11, "m1", "a")
		}, "[order]"},
		{"beside one another", func(s scenario) {
			s.submit(0, "a", "ride", 202, "k")
			s.submit(5, "b", "ride", 202, "k")
			s.call(6, 9, "m1", "a")
			s.call(8, 9, "m2", "b")
		}, "[order]"},
		{"handed in at two members", func(s scenario) { s.submitAtTwoMembers() }, "[]"},
		{"where that counts, too", func(s scenario) { s.Requirements.OrderAcross = true; s.submitAtTwoMembers() }, "[order]"},
		{"other keys", func(s scenario) {
			s.submit(0, "a", "ride", 202, "k")
			s.submit(5, "b", "ride", 202, "l")
			s.call(6, 7, "m1", "b")
			s.call(8, 9, "m2", "a")
		}, "[]"},
		{"while a wait binds", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.call(1, 2, "m1", "a", "wait")
			s.call(900, 901, "m1", "a")
		}, "[wait]"},
		{"after it", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.call(1, 2, "m1", "a", "wait")
			s.call(1003, 1004, "m1", "a")
		}, "[]"},
		{"by another member, not told", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.call(1, 2, "m1", "a", "wait")
			s.call(900, 901, "m2", "a")
		}, "[]"},
		{"by another member, and waits go along", func(s scenario) {
			s.Requirements.WaitsBindAll = true
			s.submit(0, "a", "status", 202)
			s.call(1, 2, "m1", "a", "wait")
			s.call(900, 901, "m2", "a")
		}, "[wait]"},
		{"a stop ends no wait", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.call(1, 2, "m1", "a", "wait")
			s.RecordMemberDown(3*millisecond, "m1", false)
			s.RecordMemberUp(500*millisecond, "m1")
			s.call(900, 901, "m1", "a")
		}, "[wait]"},
		{"a kill does", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.call(1, 2, "m1", "a", "wait")
			s.RecordMemberDown(3*millisecond, "m1", true)
			s.RecordMemberUp(500*millisecond, "m1")
			s.call(900, 901, "m1", "a")
		}, "[]"},
		{"long after a drain was told", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.RecordDraining(0, "e")
			s.RecordNotified(100*millisecond, "m1", "e")
			s.call(660, 661, "m1", "a")
		}, "[drain]"},
		{"soon after it, or not told yet", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.submit(0, "b", "status", 202)
			s.RecordDraining(0, "e")
			s.RecordNotified(100*millisecond, "m1", "e")
			s.call(640, 641, "m1", "a")
			s.call(6500, 6501, "m2", "b")
		}, "[]"},
		{"it never came, and counts as told", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.RecordDraining(0, "e")
			s.call(6600, 6601, "m1", "a")
		}, "[drain]"},
		{"a returned destination pushed over by several", func(s scenario) { s.recover(14) }, "[cold budget]"},
		{"and not", func(s scenario) { s.recover(12) }, "[]"}, // 2 * 20 * (0.2 + 0.8/4/2) a second
		{"never handed in", func(s scenario) { s.call(1, 2, "m1", "x") }, "[astray]"},
		{"a notice of nothing", func(s scenario) { s.RecordNotice(1, "m1", "x", "given_up") }, "[astray]"},
		{"for another destination", func(s scenario) {
			s.RecordSubmission(deliverycheck.Submission{
				ID:           "a",
				Member:       "m1",
				Destinations: []api.DestinationID{4},
				Type:         "status",
			})
			s.call(1, 2, "m1", "a")
		}, "[astray]"},
	} {
		s := scenario{deliverycheck.New(requirements())}
		c.record(s)
		rules := []deliverycheck.Rule{}
		for _, violation := range s.Check(20000 * millisecond) {
			rules = append(rules, violation.Rule)
		}
		assert.Equal(t, c.want, fmt.Sprint(rules), c.name)
	}
}

func TestChecker_CountsAndOutstanding(t *testing.T) {
	s := scenario{deliverycheck.New(requirements())}
	s.submit(0, "a", "status", 202)
	s.submit(0, "b", "status", 202)
	s.submit(0, "c", "status", 503)
	s.submit(0, "d", "status", 0)
	s.call(1, 2, "m1", "a")
	s.RecordRateExceeded()
	assert.Equal(t, 1, s.Outstanding())
	assert.Equal(t, deliverycheck.Counts{
		Submitted:    4,
		Accepted:     2,
		Rejected:     1,
		Unanswered:   1,
		Delivered:    1,
		Calls:        1,
		RateExceeded: 1,
		Effects:      1,
	},
		s.Counts())
}

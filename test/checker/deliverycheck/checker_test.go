package deliverycheck_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/test/checker/deliverycheck"
	"rowanlink/webhook/api"
)

// boundaryScenario records calls and events, and has the rules that they violate.
type boundaryScenario struct {
	name   string
	record func(s scenario)
	want   string // the violations' rules, as they print
}

// checkScenarios checks scenarios. Beside each one that violates a rule is one that only just doesn't.
func checkScenarios(t *testing.T, scenarios []boundaryScenario) {
	t.Helper()
	for _, c := range scenarios {
		s := scenario{deliverycheck.New(requirements())}
		c.record(s)
		rules := []deliverycheck.Rule{}
		for _, violation := range s.Check(20000 * millisecond) {
			rules = append(rules, violation.Rule)
		}
		assert.Equal(t, c.want, fmt.Sprint(rules), c.name)
	}
}

func TestChecker_Lost(t *testing.T) {
	checkScenarios(t, []boundaryScenario{
		{"delivered", func(s scenario) { s.submit(0, "a", "status", 202); s.call(1, 2, "m1", "a") }, "[]"},
		{"reported", func(s scenario) { s.submit(0, "a", "status", 202); s.RecordNotice(9, "m2", "a", "given_up") }, "[]"},
		{"neither delivered nor reported", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.call(1, 2, "m1", "a", "rejected")
		}, "[lost]"},
		{"rejected", func(s scenario) { s.submit(0, "a", "status", 503) }, "[]"},
		{"no response", func(s scenario) { s.submit(0, "a", "status", 0) }, "[]"},
		{"before its deadline", func(s scenario) { s.submit(15000, "a", "status", 202) }, "[]"},
		{"delivered to one subscriber of two", func(s scenario) {
			s.submitAnnouncement()
			s.call(1, 2, "m1", "a")
		}, "[lost]"},
		{"delivered to one subscriber, the other reported", func(s scenario) {
			s.submitAnnouncement()
			s.call(1, 2, "m1", "a")
			s.RecordNotice(9, "m2", "a", "given_up", 4)
		}, "[]"},
		{"a member is down", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.RecordMemberDown(1, "m2", true)
		}, "[]"},
		{"accepted after the member went down", func(s scenario) {
			s.RecordMemberDown(1, "m2", true)
			s.submit(2, "a", "status", 202)
		}, "[lost]"},
		{"deadline after a member's restart has passed", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.RecordMemberDown(1, "m2", true)
			s.RecordMemberUp(9000*millisecond, "m2")
		}, "[lost]"},
		{"deadline after a member's restart has not passed", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.RecordMemberDown(1, "m2", true)
			s.RecordMemberUp(19800*millisecond, "m2")
		}, "[]"},
		{"outstanding webhooks forgiven", func(s scenario) { s.submit(0, "a", "status", 202); s.ForgiveOutstanding(5) }, "[]"},
	})
}

func TestChecker_DuplicateEffect(t *testing.T) {
	checkScenarios(t, []boundaryScenario{
		{"idempotent twice", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.call(1, 2, "m1", "a", "took effect")
			s.call(3, 4, "m2", "a")
		}, "[]"},
		{"at-most-once twice", func(s scenario) {
			s.submit(0, "a", "charge", 202)
			s.call(1, 2, "m1", "a", "took effect")
			s.call(3, 4, "m2", "a")
		}, "[duplicate effect]"},
		{"deduplicated twice within the window", func(s scenario) {
			s.submit(0, "a", "paid", 202)
			s.call(1, 2, "m1", "a", "took effect")
			s.call(7000, 7001, "m2", "a")
		}, "[]"},
		{"deduplicated twice outside the window", func(s scenario) {
			s.submit(0, "a", "paid", 202)
			s.call(1, 2, "m1", "a", "took effect")
			s.call(8005, 8006, "m2", "a")
		}, "[duplicate effect]"},
		{"rejected, and took effect", func(s scenario) {
			s.submit(0, "a", "charge", 503)
			s.call(1, 2, "m1", "a")
		}, "[duplicate effect]"},
		{"returned, and took effect", func(s scenario) {
			s.submit(0, "a", "charge", 202)
			s.call(1, 2, "m1", "a", "took effect")
			s.RecordNotice(9*millisecond, "m1", "a", "handed_back")
		}, "[duplicate effect]"},
		{"retried after its return, both took effect", func(s scenario) {
			s.submit(0, "a", "charge", 202)
			s.call(1, 2, "m1", "a", "took effect")
			s.RecordNotice(9*millisecond, "m1", "a", "handed_back")
			s.submit(10, "b", "charge", 202, "", "a")
			s.call(11, 12, "m1", "b")
		}, "[duplicate effect duplicate effect]"},
	})
}

func TestChecker_OverlapAndOrder(t *testing.T) {
	checkScenarios(t, []boundaryScenario{
		{"two overlapping calls", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.call(1, 9, "m1", "a")
			s.call(5, 6, "m2", "a")
		}, "[fork overlap]"},
		{"a call after one that never ends", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.call(1, 0, "m1", "a", "in flight")
			s.call(5, 6, "m2", "a")
		}, "[fork overlap]"},
		{"two overlapping calls of one member", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.call(1, 9, "m1", "a")
			s.call(5, 6, "m1", "a")
		}, "[overlap]"},
		{"two overlapping calls of what may run once", func(s scenario) {
			s.submit(0, "a", "charge", 202)
			s.call(1, 9, "m1", "a", "rejected")
			s.call(5, 6, "m2", "a")
		}, "[overlap]"},
		{"in order, with a retry", func(s scenario) {
			s.submit(0, "a", "ride", 202, "k")
			s.submit(5, "b", "ride", 202, "k")
			s.call(6, 7, "m1", "a", "rejected")
			s.call(8, 9, "m1", "a")
			s.call(9, 10, "m1", "b")
		}, "[]"},
		{"later webhook before the retry of the earlier", func(s scenario) {
			s.submit(0, "a", "ride", 202, "k")
			s.submit(5, "b", "ride", 202, "k")
			s.call(6, 7, "m1", "a", "rejected")
			s.call(8, 9, "m2", "b")
			s.call(10, 11, "m1", "a")
		}, "[order]"},
		{"overlapping calls of one key", func(s scenario) {
			s.submit(0, "a", "ride", 202, "k")
			s.submit(5, "b", "ride", 202, "k")
			s.call(6, 9, "m1", "a")
			s.call(8, 9, "m2", "b")
		}, "[order]"},
		{"submitted at two members", func(s scenario) { s.submitAtTwoMembers() }, "[]"},
		{"submitted at two members, order across members required", func(s scenario) { s.Requirements.OrderAcross = true; s.submitAtTwoMembers() }, "[order]"},
		{"different keys", func(s scenario) {
			s.submit(0, "a", "ride", 202, "k")
			s.submit(5, "b", "ride", 202, "l")
			s.call(6, 7, "m1", "b")
			s.call(8, 9, "m2", "a")
		}, "[]"},
	})
}

func TestChecker_RetryAfter(t *testing.T) {
	checkScenarios(t, []boundaryScenario{
		{"call before the Retry-After has passed", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.call(1, 2, "m1", "a", "retry-after")
			s.call(900, 901, "m1", "a")
		}, "[retry-after]"},
		{"call after the Retry-After", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.call(1, 2, "m1", "a", "retry-after")
			s.call(1003, 1004, "m1", "a")
		}, "[]"},
		{"call by a member without the Retry-After", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.call(1, 2, "m1", "a", "retry-after")
			s.call(900, 901, "m2", "a")
		}, "[]"},
		{"call by another member, Retry-After binds all", func(s scenario) {
			s.Requirements.WaitsBindAll = true
			s.submit(0, "a", "status", 202)
			s.call(1, 2, "m1", "a", "retry-after")
			s.call(900, 901, "m2", "a")
		}, "[retry-after]"},
		{"a pause does not end the Retry-After", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.call(1, 2, "m1", "a", "retry-after")
			s.RecordMemberDown(3*millisecond, "m1", false)
			s.RecordMemberUp(500*millisecond, "m1")
			s.call(900, 901, "m1", "a")
		}, "[retry-after]"},
		{"a kill ends the Retry-After", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.call(1, 2, "m1", "a", "retry-after")
			s.RecordMemberDown(3*millisecond, "m1", true)
			s.RecordMemberUp(500*millisecond, "m1")
			s.call(900, 901, "m1", "a")
		}, "[]"},
	})
}

func TestChecker_Draining(t *testing.T) {
	checkScenarios(t, []boundaryScenario{
		{"call after the grace of a draining notification", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.RecordDraining(0, "e")
			s.RecordNotified(100*millisecond, "m1", "e")
			s.call(660, 661, "m1", "a")
		}, "[draining]"},
		{"call within the grace, or before the notification", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.submit(0, "b", "status", 202)
			s.RecordDraining(0, "e")
			s.RecordNotified(100*millisecond, "m1", "e")
			s.call(640, 641, "m1", "a")
			s.call(6500, 6501, "m2", "b")
		}, "[]"},
		{"notification that never came counts after a while", func(s scenario) {
			s.submit(0, "a", "status", 202)
			s.RecordDraining(0, "e")
			s.call(6600, 6601, "m1", "a")
		}, "[draining]"},
	})
}

func TestChecker_SlowStart(t *testing.T) {
	checkScenarios(t, []boundaryScenario{
		{"recovered destination overloaded by two members", func(s scenario) { s.recover(14) }, "[slow start]"},
		{"recovered destination not overloaded", func(s scenario) { s.recover(12) }, "[]"}, // 2 * 20 * (0.2 + 0.8/4/2) a second
	})
}

func TestChecker_Misrouted(t *testing.T) {
	checkScenarios(t, []boundaryScenario{
		{"call with a webhook never submitted", func(s scenario) { s.call(1, 2, "m1", "x") }, "[misrouted]"},
		{"notice of a webhook never submitted", func(s scenario) { s.RecordNotice(1, "m1", "x", "given_up") }, "[misrouted]"},
		{"call at another destination", func(s scenario) {
			s.RecordSubmission(deliverycheck.Submission{
				ID:           "a",
				Member:       "m1",
				Destinations: []api.DestinationID{4},
				Type:         "status",
			})
			s.call(1, 2, "m1", "a")
		}, "[misrouted]"},
	})
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

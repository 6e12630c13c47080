package health

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/rebalance"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
)

type fixedMap struct{ shardMap *shardmap.Map }

func (f fixedMap) Map() *shardmap.Map { return f.shardMap }

func newTestReporter(ranges []shardmap.Range) *Reporter {
	return NewReporter(ReporterConfig{
		Self:  "a",
		Maps:  fixedMap{&shardmap.Map{Ranges: ranges}},
		Clock: func() api.Micros { return 0 },
		Meter: rebalance.NewImpactMeter(1, api.Second, 0),
	})
}

// Each outcome is counted once, and a rejection by the member that responds to the client. Otherwise harm would be
// missed, or counted by both the owner and the forwarding member.
func TestReporter_CountsEachEndOnce(t *testing.T) {
	ranges, err := shardmap.EvenRanges(1, []shardmap.MemberWeight{{Member: "b", Weight: 1}})
	assert.NoError(t, err)
	ranges[0].Move = shardmap.Move{ID: 5, From: "b", To: "c", Step: shardmap.StepPlanned}
	r := newTestReporter(ranges)
	r.ObserveMoves()
	w := &inflight.Webhook{Destination: 7}
	for _, end := range []eventloop.Ending{eventloop.OnTime, eventloop.Late, eventloop.Late, eventloop.Rejected,
		eventloop.DeadLettered, eventloop.DeadLettered, eventloop.DeadLettered} {
		r.CountOutcome(w, end)
	}
	forwardTo := func(answer inflight.Answer, answered bool) ForwardFunc {
		return func(_ *inflight.Webhook, accept AcceptFunc) (inflight.Answer, api.Micros) {
			if answered {
				return answer, 3
			}
			return accept()
		}
	}
	for _, c := range []struct {
		owner, here inflight.Answer
		answered    bool // by the owner
	}{
		{owner: inflight.Rejected, here: inflight.Accepted, answered: true},
		{owner: inflight.Accepted, here: inflight.Rejected, answered: false},
		{owner: inflight.Accepted, here: inflight.Rejected, answered: true},
		{owner: inflight.Rejected, here: inflight.Accepted, answered: false},
		{owner: inflight.Duplicate, here: inflight.Rejected, answered: true},
	} {
		accept := func() (inflight.Answer, api.Micros) { return c.here, 4 }
		answer, retryAfter := r.CountRejections(forwardTo(c.owner, c.answered))(w, accept)
		wantAnswer, wantRetryAfter := c.owner, api.Micros(3)
		if !c.answered {
			wantAnswer, wantRetryAfter = c.here, 4
		}
		assert.Equal(t, wantAnswer, answer)
		assert.Equal(t, wantRetryAfter, retryAfter)
	}
	report := r.Report(Query{Plan: 1, Watches: []rebalance.MonitoredMove{{Move: 5, Range: 1, From: 0, To: ^cluster.KeyHash(0)}}})
	assert.Equal(t, rebalance.Outcomes{Total: 9, Rejected: 3, DeadLettered: 3, Late: 2}, report.Ranges[0].During)
}

// FuzzHandleQuery checks that arbitrary messages are rejected or answered without a panic, and that the report is
// bounded.
func FuzzHandleQuery(f *testing.F) {
	ranges, err := shardmap.EvenRanges(2, []shardmap.MemberWeight{{Member: "b", Weight: 1}})
	assert.NoError(f, err)
	f.Add(transport.Encode(Query{Plan: 1, Watches: []rebalance.MonitoredMove{{Move: 5, Range: 1, From: 0, To: ^cluster.KeyHash(0)}}}))
	f.Fuzz(func(t *testing.T, body []byte) {
		r := newTestReporter(ranges)
		r.count(7, rebalance.Outcomes{Total: 1})
		var ctx fasthttp.RequestCtx
		ctx.Request.SetBody(body)
		r.HandleQuery(&ctx)
		var report rebalance.Report
		if ctx.Response.StatusCode() == fasthttp.StatusOK {
			assert.NoError(t, transport.Decode(ctx.Response.Body(), &report))
			var collected rebalance.ImpactCollector
			collected.AddReport(1, "a", report)
			assert.LessOrEqual(t, len(collected.Impact(1).Ranges), 64)
		}
	})
}

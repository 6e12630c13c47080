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

// Each end counts once and as what it was, a rejection where its client was told of it: guards against harm that is not
// seen, and against a plan stopped for what an owner and an entry both count.
func TestReporter_CountsEachEndOnce(t *testing.T) {
	ranges, err := shardmap.EvenRanges(1, []shardmap.MemberWeight{{Member: "b", Weight: 1}})
	assert.NoError(t, err)
	ranges[0].Move = shardmap.Move{ID: 5, From: "b", To: "c", Step: shardmap.StepPlanned}
	r := newTestReporter(ranges)
	r.ObserveMoves()
	w := &inflight.Webhook{Destination: 7}
	for _, end := range []eventloop.Ending{eventloop.OnTime, eventloop.Late, eventloop.Late, eventloop.Rejected,
		eventloop.DeadLettered, eventloop.DeadLettered, eventloop.DeadLettered} {
		r.CountEnd(w, end)
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
	}{{inflight.Rejected, inflight.Accepted, true}, {inflight.Accepted, inflight.Rejected, false},
		{inflight.Accepted, inflight.Rejected, true}, {inflight.Rejected, inflight.Accepted, false},
		{inflight.Duplicate, inflight.Rejected, true}} {
		accept := func() (inflight.Answer, api.Micros) { return c.here, 4 }
		answer, retryAfter := r.CountRejections(forwardTo(c.owner, c.answered))(w, accept)
		wantAnswer, wantRetryAfter := c.owner, api.Micros(3)
		if !c.answered {
			wantAnswer, wantRetryAfter = c.here, 4
		}
		assert.Equal(t, wantAnswer, answer)
		assert.Equal(t, wantRetryAfter, retryAfter)
	}
	report := r.Report(Query{1, []rebalance.MonitoredMove{{Move: 5, Range: 1, From: 0, To: ^cluster.KeyHash(0)}}})
	assert.Equal(t, rebalance.Outcomes{Total: 9, Rejected: 3, DeadLettered: 3, Late: 2}, report.Ranges[0].During)
}

// Whatever a message says, it is rejected or answered: guards against a member ended by what another sends.
func FuzzHandleQuery(f *testing.F) {
	ranges, err := shardmap.EvenRanges(2, []shardmap.MemberWeight{{Member: "b", Weight: 1}})
	assert.NoError(f, err)
	f.Add(transport.Encode(Query{1, []rebalance.MonitoredMove{{Move: 5, Range: 1, From: 0, To: ^cluster.KeyHash(0)}}}))
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

package member

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

// Each end counts once and as what it was, a rejection where its client heard of it: guards against harm that
// is done and not seen, and against a plan stopped for what a home and an entry both count.
func TestEachEndCountsOnceAsWhatItWas(t *testing.T) {
	even, err := shardmap.EvenRanges(1, []shardmap.MemberWeight{{Member: "b", Weight: 1}})
	assert.NoError(t, err)
	even[0].Move = shardmap.Move{ID: 5, From: "b", To: "c", Step: shardmap.StepPlanned}
	chart := &shardmap.Map{Ranges: even}
	h := &Reporter{self: "a", ownership: &Ownership{}, tally: rebalance.NewImpactMeter(1, api.Second, 0),
		now: func() api.Micros { return 0 }}
	h.ownership.shardMap.Store(chart)
	h.NoteMoves()
	w := &inflight.Webhook{Destination: 7}
	for _, how := range []eventloop.End{eventloop.InTime, eventloop.Late, eventloop.Late, eventloop.HandedBack,
		eventloop.DeadLettered, eventloop.DeadLettered, eventloop.DeadLettered} {
		h.CountEnd(w, how)
	}
	to := func(what inflight.Answer, done bool) ForwardFunc {
		return func(_ *inflight.Webhook, here AcceptFunc) (inflight.Answer, api.Micros) {
			if done {
				return what, 3
			}
			return here()
		}
	}
	for _, c := range []struct {
		away, here inflight.Answer
		done       bool
	}{{inflight.Rejected, inflight.Taken, true}, {inflight.Taken, inflight.Rejected, false},
		{inflight.Taken, inflight.Rejected, true}, {inflight.Rejected, inflight.Taken, false},
		{inflight.Doubled, inflight.Rejected, true}} {
		here := func() (inflight.Answer, api.Micros) { return c.here, 4 }
		what, in := h.CountRejections(to(c.away, c.done))(w, here)
		want, wait := c.away, api.Micros(3)
		if !c.done {
			want, wait = c.here, 4
		}
		assert.Equal(t, want, what)
		assert.Equal(t, wait, in)
	}
	r := h.Report(Query{1, []rebalance.MonitoredMove{{Move: 5, Range: 1, From: 0, To: ^cluster.KeyHash(0)}}})
	assert.Equal(t, rebalance.Outcomes{Total: 9, Rejected: 3, DeadLettered: 3, Late: 2}, r.Ranges[0].During)
}

// Whatever a message says, it is refused or answered: guards against a member ended by what another sends.
func FuzzHear(f *testing.F) {
	even, err := shardmap.EvenRanges(2, []shardmap.MemberWeight{{Member: "b", Weight: 1}})
	assert.NoError(f, err)
	f.Add(transport.Encode(Query{1, []rebalance.MonitoredMove{{Move: 5, Range: 1, From: 0, To: ^cluster.KeyHash(0)}}}))
	f.Fuzz(func(t *testing.T, body []byte) {
		h := &Reporter{self: "a", ownership: &Ownership{}, tally: rebalance.NewImpactMeter(1, api.Second, 0),
			now: func() api.Micros { return 0 }}
		h.ownership.shardMap.Store(&shardmap.Map{Ranges: even})
		h.count(7, rebalance.Outcomes{Total: 1})
		var ctx fasthttp.RequestCtx
		ctx.Request.SetBody(body)
		h.HandleQuery(&ctx)
		var r rebalance.Report
		if ctx.Response.StatusCode() == fasthttp.StatusOK {
			assert.NoError(t, transport.Decode(ctx.Response.Body(), &r))
			var g rebalance.ImpactCollector
			g.AddReport(1, "a", r)
			assert.LessOrEqual(t, len(g.Impact(1).Ranges), 64)
		}
	})
}

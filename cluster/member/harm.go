package member

import (
	"slices"
	"sync"

	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/rebalance"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
)

// Path is where a conductor asks for the harm that its moves did.
const Path = "/fleet/harm"

type Query struct {
	Plan    uint64                    `cbor:"1,keyasint"` // of the plan
	Watches []rebalance.MonitoredMove `cbor:"2,keyasint"`
}

// Reporter counts how webhooks end here, answers conductors, and, where this member conducts, asks the others.
type Reporter struct {
	self      cluster.MemberID
	ownership *Ownership
	decider   *eventloop.Decider
	now       func() api.Micros
	stop      <-chan struct{}

	mu       sync.Mutex
	tally    *rebalance.ImpactMeter
	gathered rebalance.ImpactCollector
}

// Ended counts an end, as the decider tells it.
func (g admission) Ended(w *inflight.Webhook, how eventloop.End) { g.m.health.CountEnd(w, how) }

func (h *Reporter) CountEnd(w *inflight.Webhook, how eventloop.End) {
	e := rebalance.Outcomes{Total: 1}
	switch how {
	case eventloop.Late:
		e.Late = 1
	case eventloop.HandedBack:
		e.Rejected = 1
	case eventloop.DeadLettered:
		e.DeadLettered = 1
	}
	h.count(w.Destination, e)
}

func (h *Reporter) count(d api.DestinationID, e rebalance.Outcomes) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tally.CountOutcomes(d, e)
}

// CountRejections counts what a client is told of a webhook here: rejected counts at the entry, whoever rejects it, so
// that it counts once.
func (h *Reporter) CountRejections(away ForwardFunc) ForwardFunc {
	return func(w *inflight.Webhook, here AcceptFunc) (inflight.Answer, api.Micros) {
		what, retryIn := away(w, here)
		if what == inflight.Rejected {
			h.count(w.Destination, rebalance.Outcomes{Total: 1, Rejected: 1})
		}
		return what, retryIn
	}
}

// ForwardFunc is what an exchange has for a client's webhook.
type ForwardFunc = func(w *inflight.Webhook, here AcceptFunc) (inflight.Answer, api.Micros)

// NoteMoves takes note of moves that have begun.
func (h *Reporter) NoteMoves() {
	chart := h.ownership.Map()
	if chart == nil {
		return
	}
	h.mu.Lock()
	fresh := h.tally.UnobservedMoves(chart)
	h.mu.Unlock()
	sick := h.findUnhealthy(fresh)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tally.ObserveMap(chart, sick, h.now())
}

// findUnhealthy asks the module, all at once and before the lock is taken, for which the decider waits with each end.
// Only a home's word counts, as others have no calls to know it by.
func (h *Reporter) findUnhealthy(of []shardmap.Range) rebalance.UnhealthyFunc {
	in := func(r shardmap.Range, d api.DestinationID) bool {
		return r.Owner == h.self && h.ownership.Map().Contains(r, d)
	}
	found := make(chan []api.DestinationState, 1)
	if slices.ContainsFunc(of, func(r shardmap.Range) bool { return r.Owner == h.self }) {
		go func() {
			all, _ := h.decider.Learned(func(d api.DestinationID) bool {
				return slices.ContainsFunc(of, func(r shardmap.Range) bool { return in(r, d) })
			})
			found <- all
		}()
	} else {
		found <- nil
	}
	var all []api.DestinationState
	select {
	case all = <-found:
	case <-h.stop: // no turn comes any more
	}
	return func(r shardmap.Range) (sick []api.DestinationID) {
		for _, l := range all {
			if l.Unhealthy && in(r, l.Destination) {
				sick = append(sick, l.Destination)
			}
		}
		return sick
	}
}

func (h *Reporter) Report(a Query) rebalance.Report {
	chart := h.ownership.Map()
	if chart == nil {
		return rebalance.Report{}
	}
	var of []shardmap.Range
	for _, w := range a.Watches {
		if r, ok := chart.RangeByID(w.Range); ok {
			of = append(of, r)
		}
	}
	sick := h.findUnhealthy(of)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tally.Report(a.Plan, a.Watches, chart, sick, h.now())
}

// HandleQuery answers a conductor.
func (h *Reporter) HandleQuery(ctx *fasthttp.RequestCtx) {
	var a Query
	if err := transport.Decode(ctx.Request.Body(), &a); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	ctx.SetBody(transport.Encode(h.Report(a)))
}

func (h *Reporter) Collect(number uint64, from cluster.MemberID, r rebalance.Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gathered.AddReport(number, from, r)
}

// Collected is the harm that was told of the plan of a number.
func (h *Reporter) Collected(number uint64) rebalance.Impact {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gathered.Impact(number)
}

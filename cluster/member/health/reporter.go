// Package health measures whether a rebalancing plan harms the delivery of webhooks. Each member counts the outcomes of
// the webhooks in ranges that move (Reporter), and the coordinator collects these counts from all members (Collector).
package health

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

// Path is the HTTP path at which a member answers a Query with a rebalance.Report.
const Path = "/fleet/harm"

// Query requests a member's counts in the ranges that a plan has moved.
type Query struct {
	Plan    uint64                    `cbor:"1,keyasint"` // number of the plan
	Watches []rebalance.MonitoredMove `cbor:"2,keyasint"`
}

// MapSource provides the newest shard map, or nil if there is none yet.
type MapSource interface{ Map() *shardmap.Map }

// ReporterConfig holds the dependencies of a Reporter.
type ReporterConfig struct {
	Self      cluster.MemberID
	Maps      MapSource
	Loop      *eventloop.Loop
	Clock     func() api.Micros // monotonic
	Meter     *rebalance.ImpactMeter
	LoopEnded <-chan struct{} // closed once the dispatcher's event loop has ended
}

// Reporter counts the outcomes of webhooks at this member. Its methods may be called concurrently.
type Reporter struct {
	ReporterConfig
	mu sync.Mutex // guards Meter
}

// NewReporter returns a Reporter without counts.
func NewReporter(c ReporterConfig) *Reporter { return &Reporter{ReporterConfig: c} }

// CountOutcome counts the outcome of a webhook that this member owned and that has ended.
func (r *Reporter) CountOutcome(w *inflight.Webhook, end eventloop.Ending) {
	counts := rebalance.Outcomes{Total: 1}
	switch end {
	case eventloop.OnTime:
	case eventloop.Late:
		counts.Late = 1
	case eventloop.Rejected:
		counts.Rejected = 1
	case eventloop.DeadLettered:
		counts.DeadLettered = 1
	}
	r.count(w.Destination, counts)
}

func (r *Reporter) count(d api.DestinationID, counts rebalance.Outcomes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Meter.CountOutcomes(d, counts)
}

// AcceptFunc accepts a webhook at this member's dispatcher.
type AcceptFunc = func() (inflight.Answer, api.Micros)

// ForwardFunc forwards a client's webhook to its owner, or accepts it here, and returns the response to the client.
type ForwardFunc = func(w *inflight.Webhook, accept AcceptFunc) (inflight.Answer, api.Micros)

// CountRejections wraps a ForwardFunc so that rejections are counted. A rejection is counted by the member that
// responds to the client, whichever member rejected the webhook, so that it is counted once.
func (r *Reporter) CountRejections(forward ForwardFunc) ForwardFunc {
	return func(w *inflight.Webhook, accept AcceptFunc) (inflight.Answer, api.Micros) {
		answer, retryAfter := forward(w, accept)
		if answer == inflight.Rejected {
			r.count(w.Destination, rebalance.Outcomes{Total: 1, Rejected: 1})
		}
		return answer, retryAfter
	}
}

// ObserveMoves starts the counts for moves that have begun since the last call.
func (r *Reporter) ObserveMoves() {
	shardMap := r.Maps.Map()
	if shardMap == nil {
		return
	}
	r.mu.Lock()
	begun := r.Meter.UnobservedMoves(shardMap)
	r.mu.Unlock()
	unhealthy := r.findUnhealthy(begun)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Meter.ObserveMap(shardMap, unhealthy, r.Clock())
}

// findUnhealthy returns a function that lists the unhealthy destinations of a range, according to the learned state of
// this member. The list is empty for ranges that this member doesn't own, since it makes no calls for them.
// findUnhealthy exports the state for all ranges at once, and must be called without the lock: the event loop, which
// exports the state, takes the lock whenever a webhook ends.
func (r *Reporter) findUnhealthy(ranges []shardmap.Range) rebalance.UnhealthyFunc {
	isOwn := func(rng shardmap.Range) bool { return rng.Owner == r.Self }
	isOwnIn := func(rng shardmap.Range, d api.DestinationID) bool {
		return isOwn(rng) && r.Maps.Map().Contains(rng, d)
	}
	var all []api.DestinationState
	if slices.ContainsFunc(ranges, isOwn) {
		all = r.exportState(func(d api.DestinationID) bool {
			return slices.ContainsFunc(ranges, func(rng shardmap.Range) bool { return isOwnIn(rng, d) })
		})
	}
	return func(rng shardmap.Range) (unhealthy []api.DestinationID) {
		for _, l := range all {
			if l.Unhealthy && isOwnIn(rng, l.Destination) {
				unhealthy = append(unhealthy, l.Destination)
			}
		}
		return unhealthy
	}
}

// exportState returns the learned state of the destinations that match, or nil once the event loop has ended.
func (r *Reporter) exportState(match func(api.DestinationID) bool) []api.DestinationState {
	found := make(chan []api.DestinationState, 1)
	go func() {
		all, _ := r.Loop.ExportState(match)
		found <- all
	}()
	select {
	case all := <-found:
		return all
	case <-r.LoopEnded:
		return nil
	}
}

// Report returns this member's counts for the moves that a query names.
func (r *Reporter) Report(q Query) rebalance.Report {
	shardMap := r.Maps.Map()
	if shardMap == nil {
		return rebalance.Report{}
	}
	var ranges []shardmap.Range
	for _, w := range q.Watches {
		if rng, found := shardMap.RangeByID(w.Range); found {
			ranges = append(ranges, rng)
		}
	}
	unhealthy := r.findUnhealthy(ranges)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Meter.Report(q.Plan, q.Watches, shardMap, unhealthy, r.Clock())
}

// HandleQuery responds to the coordinator with a rebalance.Report.
func (r *Reporter) HandleQuery(ctx *fasthttp.RequestCtx) {
	var q Query
	if err := transport.Decode(ctx.Request.Body(), &q); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	ctx.SetBody(transport.Encode(r.Report(q)))
}

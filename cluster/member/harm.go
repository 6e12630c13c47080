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

// harmPath is where a conductor asks for the harm that its moves did.
const harmPath = "/fleet/harm"

type harmAsk struct {
	Number uint64            `cbor:"1,keyasint"` // of the plan
	Of     []rebalance.Watch `cbor:"2,keyasint"`
}

// harm counts how webhooks end here, answers conductors, and, where this member conducts, asks the others.
type harm struct {
	self  cluster.MemberID
	homes *homes
	d     *eventloop.Decider
	now   func() api.Micros
	over  <-chan struct{}

	mu       sync.Mutex
	tally    *rebalance.Tally
	gathered rebalance.Gathered
}

// Ended counts an end, as the decider tells it.
func (g gate) Ended(w *inflight.Webhook, how eventloop.End) { g.m.harm.ended(w, how) }

func (h *harm) ended(w *inflight.Webhook, how eventloop.End) {
	e := rebalance.Ends{Ended: 1}
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

func (h *harm) count(d api.DestinationID, e rebalance.Ends) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tally.Ended(d, e)
}

// entry counts what a client is told of a webhook here: rejected counts at the entry, whoever rejects it, so
// that it counts once.
func (h *harm) entry(away away) away {
	return func(w *inflight.Webhook, here taker) (inflight.Answer, api.Micros) {
		what, retryIn := away(w, here)
		if what == inflight.Rejected {
			h.count(w.Destination, rebalance.Ends{Ended: 1, Rejected: 1})
		}
		return what, retryIn
	}
}

// away is what an exchange has for a client's webhook.
type away = func(w *inflight.Webhook, here taker) (inflight.Answer, api.Micros)

// Look takes note of moves that have begun.
func (h *harm) Look() {
	chart := h.homes.Map()
	if chart == nil {
		return
	}
	h.mu.Lock()
	fresh := h.tally.Unseen(chart)
	h.mu.Unlock()
	sick := h.sick(fresh)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tally.Look(chart, sick, h.now())
}

// sick asks the module, all at once and before the lock is taken, for which the decider waits with each end.
// Only a home's word counts, as others have no calls to know it by.
func (h *harm) sick(of []shardmap.Range) rebalance.Sickness {
	in := func(r shardmap.Range, d api.DestinationID) bool {
		return r.Home == h.self && h.homes.Map().Holds(r, d)
	}
	found := make(chan []api.Learned, 1)
	if slices.ContainsFunc(of, func(r shardmap.Range) bool { return r.Home == h.self }) {
		go func() {
			all, _ := h.d.Learned(func(d api.DestinationID) bool {
				return slices.ContainsFunc(of, func(r shardmap.Range) bool { return in(r, d) })
			})
			found <- all
		}()
	} else {
		found <- nil
	}
	var all []api.Learned
	select {
	case all = <-found:
	case <-h.over: // no turn comes any more
	}
	return func(r shardmap.Range) (sick []api.DestinationID) {
		for _, l := range all {
			if l.Sick && in(r, l.Destination) {
				sick = append(sick, l.Destination)
			}
		}
		return sick
	}
}

func (h *harm) tell(a harmAsk) rebalance.Report {
	chart := h.homes.Map()
	if chart == nil {
		return rebalance.Report{}
	}
	var of []shardmap.Range
	for _, w := range a.Of {
		if r, ok := chart.Get(w.Range); ok {
			of = append(of, r)
		}
	}
	sick := h.sick(of)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tally.Tell(a.Number, a.Of, chart, sick, h.now())
}

// Hear answers a conductor.
func (h *harm) Hear(ctx *fasthttp.RequestCtx) {
	var a harmAsk
	if err := transport.Decode(ctx.Request.Body(), &a); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	ctx.SetBody(transport.Encode(h.tell(a)))
}

func (h *harm) took(number uint64, from cluster.MemberID, r rebalance.Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gathered.Take(number, from, r)
}

// Of is the harm that was told of the plan of a number.
func (h *harm) Of(number uint64) rebalance.Harm {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gathered.Harm(number)
}

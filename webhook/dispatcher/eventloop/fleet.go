package eventloop

import (
	"slices"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// Cluster is what a fleet that acts as one says of this dispatcher; nil where there is none. It is asked in the
// decider's own goroutine and must not wait.
type Cluster interface {
	MayCall(dest api.DestinationID, ordered bool) bool // whether it may be called from here, now
	RateShare(dest api.DestinationID) float64          // of its rate, from 0 to 1
	IsInDoubt(of inflight.RequestID) bool              // of an earlier life: whether another may have it
}

// Parked is a webhook that is held here and not called for now.
type Parked struct {
	*inflight.Webhook
	MayBeElsewhere bool // another member may have it
	Attempts       int
	MayHaveRunAt   api.Micros // the first attempt that may have run, or Never
	Zone           api.ZoneID
}

// JoinCluster has the decider ask a fleet from its first webhook on; before Begin only.
func (d *Loop) JoinCluster(f Cluster) {
	d.fleet, d.listed = f, map[api.EndpointID]api.EndpointEntry{}
	d.parked, d.turns = map[api.WebhookID]*inflight.Webhook{}, map[turnOf][]api.WebhookID{}
}

// mayCall tells whether a webhook may be called from here.
func (d *Loop) mayCall(w *inflight.Webhook) bool {
	if d.fleet == nil {
		return true
	}
	ordered := d.ordered(w)
	return !w.InDoubt && d.fleet.MayCall(w.Destination, ordered) && !(ordered && d.behind(w))
}

func (d *Loop) ordered(w *inflight.Webhook) bool {
	return int(w.EventType) < len(d.facts.EventTypes) && d.facts.EventTypes[w.EventType].Ordered && w.OrderingKey != 0
}

// WaitsForEarlier is whether a webhook that is not taken yet has to wait here for an earlier one of its key, which is
// parked: guards against one that overtakes it on the way to their home. It waits for the turn.
func (d *Loop) WaitsForEarlier(w *inflight.Webhook) bool {
	if w.OrderingKey == 0 {
		return false
	}
	is, done := false, make(chan struct{})
	d.x.Post(func() {
		is = d.ordered(w) && d.behind(w)
		close(done)
	})
	d.awaits(done)
	return is
}

// begins hands a webhook to the module, or parks it: journalled and owed, but called by nobody here.
func (d *Loop) begins(w *inflight.Webhook, attempts int, mayRun api.Micros, zone api.ZoneID) {
	if d.mayCall(w) {
		d.resume(w, attempts, mayRun, zone)
		return
	}
	d.park(w)
}

// Reevaluate is for when what Fleet says may have changed: it takes effect from the next turn on.
func (d *Loop) Reevaluate() { d.x.Post(d.regate) }

func (d *Loop) regate() {
	if d.fleet == nil {
		return
	}
	d.rerate()
	for _, id := range d.sorted() {
		w, e := d.held[id], d.journal.Pending(id)
		switch parked := d.parked[id] != nil; {
		case e == nil:
		case parked:
			d.frees(id)
		case !d.out[id] && !d.mayCall(w):
			d.module.Withdraw(id)
			d.park(w)
		}
	}
}

// sorted is what is held in the order taken: order by key rests on it.
func (d *Loop) sorted() []api.WebhookID {
	ids := make([]api.WebhookID, 0, len(d.held))
	for id := range d.held {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// rerate tells the module of the rates that are this dispatcher's part by now.
func (d *Loop) rerate() {
	var anew []api.EndpointEntry
	for id, l := range d.listed {
		if now := d.parted(l); now.Rate != d.rated[id] {
			anew = append(anew, now)
		}
	}
	if len(anew) > 0 {
		slices.SortFunc(anew, func(a, b api.EndpointEntry) int { return int(int64(a.Endpoint) - int64(b.Endpoint)) })
		d.note(anew)
		d.module.UpdateEndpoints(anew, false)
	}
}

// parted is an entry with the rate of which an even part is this dispatcher's.
func (d *Loop) parted(l api.EndpointEntry) api.EndpointEntry {
	l.Rate *= d.fleet.RateShare(l.Destination) * float64(max(d.facts.Dispatchers, 1))
	return l
}

func (d *Loop) note(entries []api.EndpointEntry) {
	if d.rated == nil {
		d.rated = map[api.EndpointID]float64{}
	}
	for _, l := range entries {
		d.rated[l.Endpoint] = l.Rate
	}
}

// shared keeps a list's rates and makes them this dispatcher's.
func (d *Loop) shared(entries []api.EndpointEntry, whole bool) []api.EndpointEntry {
	if d.fleet == nil {
		return entries
	}
	if whole {
		clear(d.listed)
		d.rated = nil
	}
	all := make([]api.EndpointEntry, 0, len(entries))
	for _, l := range entries {
		if d.listed[l.Endpoint] = l; l.Status == api.EndpointRemoved {
			delete(d.listed, l.Endpoint)
			delete(d.rated, l.Endpoint)
		}
		all = append(all, d.parted(l))
	}
	d.note(all)
	return all
}

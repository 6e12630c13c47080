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
	d.cluster, d.endpoints = f, map[api.EndpointID]api.EndpointEntry{}
	d.parked, d.parkedByKey = map[api.WebhookID]*inflight.Webhook{}, map[orderingGroup][]api.WebhookID{}
}

// mayCall tells whether a webhook may be called from here.
func (d *Loop) mayCall(w *inflight.Webhook) bool {
	if d.cluster == nil {
		return true
	}
	ordered := d.isOrdered(w)
	return !w.InDoubt && d.cluster.MayCall(w.Destination, ordered) && !(ordered && d.hasEarlierParked(w))
}

func (d *Loop) isOrdered(w *inflight.Webhook) bool {
	return int(w.EventType) < len(d.settings.EventTypes) && d.settings.EventTypes[w.EventType].Ordered && w.OrderingKey != 0
}

// WaitsForEarlier is whether a webhook that is not taken yet has to wait here for an earlier one of its key, which is
// parked: guards against one that overtakes it on the way to their home. It waits for the turn.
func (d *Loop) WaitsForEarlier(w *inflight.Webhook) bool {
	if w.OrderingKey == 0 {
		return false
	}
	is, done := false, make(chan struct{})
	d.inbox.Post(func() {
		is = d.isOrdered(w) && d.hasEarlierParked(w)
		close(done)
	})
	d.wait(done)
	return is
}

// begin hands a webhook to the module, or parks it: journalled and owed, but called by nobody here.
func (d *Loop) begin(w *inflight.Webhook, attempts int, mayRun api.Micros, zone api.ZoneID) {
	if d.mayCall(w) {
		d.recoverWebhook(w, attempts, mayRun, zone)
		return
	}
	d.park(w)
}

// Reevaluate is for when what Fleet says may have changed: it takes effect from the next turn on.
func (d *Loop) Reevaluate() { d.inbox.Post(d.reevaluate) }

func (d *Loop) reevaluate() {
	if d.cluster == nil {
		return
	}
	d.updateRates()
	for _, id := range d.sortedIDs() {
		w, e := d.webhooks[id], d.log.Pending(id)
		switch parked := d.parked[id] != nil; {
		case e == nil:
		case parked:
			d.resumeParked(id)
		case !d.inFlight[id] && !d.mayCall(w):
			d.policy.Withdraw(id)
			d.park(w)
		}
	}
}

// sortedIDs is what is held in the order taken: order by key rests on it.
func (d *Loop) sortedIDs() []api.WebhookID {
	ids := make([]api.WebhookID, 0, len(d.webhooks))
	for id := range d.webhooks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// updateRates tells the module of the rates that are this dispatcher's part by now.
func (d *Loop) updateRates() {
	var anew []api.EndpointEntry
	for id, l := range d.endpoints {
		if now := d.withRateShare(l); now.Rate != d.rates[id] {
			anew = append(anew, now)
		}
	}
	if len(anew) > 0 {
		slices.SortFunc(anew, func(a, b api.EndpointEntry) int { return int(int64(a.Endpoint) - int64(b.Endpoint)) })
		d.recordRates(anew)
		d.policy.UpdateEndpoints(anew, false)
	}
}

// withRateShare is an entry with the rate of which an even part is this dispatcher's.
func (d *Loop) withRateShare(l api.EndpointEntry) api.EndpointEntry {
	l.Rate *= d.cluster.RateShare(l.Destination) * float64(max(d.settings.Dispatchers, 1))
	return l
}

func (d *Loop) recordRates(entries []api.EndpointEntry) {
	if d.rates == nil {
		d.rates = map[api.EndpointID]float64{}
	}
	for _, l := range entries {
		d.rates[l.Endpoint] = l.Rate
	}
}

// takeEndpoints keeps a list's rates and makes them this dispatcher's.
func (d *Loop) takeEndpoints(entries []api.EndpointEntry, whole bool) []api.EndpointEntry {
	if d.cluster == nil {
		return entries
	}
	if whole {
		clear(d.endpoints)
		d.rates = nil
	}
	all := make([]api.EndpointEntry, 0, len(entries))
	for _, l := range entries {
		if d.endpoints[l.Endpoint] = l; l.Status == api.EndpointRemoved {
			delete(d.endpoints, l.Endpoint)
			delete(d.rates, l.Endpoint)
		}
		all = append(all, d.withRateShare(l))
	}
	d.recordRates(all)
	return all
}

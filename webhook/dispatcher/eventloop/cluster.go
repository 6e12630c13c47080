package eventloop

import (
	"slices"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// Cluster tells the Loop of a cluster member which destinations it may call, and with which share of their rates. Its
// methods are called from the loop's goroutine and must not block.
type Cluster interface {
	// MayCall reports whether this member may call the destination now.
	MayCall(destination api.DestinationID, ordered bool) bool
	// RateShare returns this member's share of the destination's rate, from 0 to 1.
	RateShare(destination api.DestinationID) float64
	// IsInDoubt reports whether another member may also have a webhook that an earlier incarnation of this member left.
	IsInDoubt(id inflight.RequestID) bool
}

// JoinCluster makes the loop part of a cluster. It may be called only before Begin.
func (l *Loop) JoinCluster(c Cluster) {
	l.cluster = c
	l.endpoints = map[api.EndpointID]api.EndpointEntry{}
	l.parked = map[api.WebhookID]*inflight.Webhook{}
	l.parkedByKey = map[orderingGroup][]api.WebhookID{}
}

// mayCall reports whether this member may make a call for a webhook now.
func (l *Loop) mayCall(w *inflight.Webhook) bool {
	if l.cluster == nil {
		return true
	}
	ordered := l.isOrdered(w)
	return !w.InDoubt && l.cluster.MayCall(w.Destination, ordered) && (!ordered || !l.hasEarlierParked(w))
}

func (l *Loop) isOrdered(w *inflight.Webhook) bool {
	types := l.settings.EventTypes
	return int(w.EventType) < len(types) && types[w.EventType].Ordered && w.OrderingKey != 0
}

// begin passes a webhook to the policy, or parks it.
func (l *Loop) begin(w *inflight.Webhook, prior api.PriorAttempts) {
	if l.mayCall(w) {
		l.recoverWebhook(w, prior)
		return
	}
	l.park(w)
}

// Reevaluate has the next turn apply the Cluster's answers, which may have changed, to all webhooks and rates. It may be
// called from any goroutine.
func (l *Loop) Reevaluate() { l.inbox.Post(l.reevaluate) }

// reevaluate resumes parked webhooks that may be called now, and parks those that may not be called any more.
func (l *Loop) reevaluate() {
	if l.cluster == nil {
		return
	}
	l.updateRates()
	for _, id := range l.sortedIDs() {
		if l.log.Pending(id) == nil {
			continue
		}
		if l.parked[id] != nil {
			l.resumeParked(id)
			continue
		}
		w := l.webhooks[id]
		if !l.inFlight[id] && !l.mayCall(w) {
			l.policy.Withdraw(id)
			l.park(w)
		}
	}
}

// sortedIDs returns the ids of all webhooks in the order of acceptance, in which webhooks of one ordering key must be
// passed to the policy.
func (l *Loop) sortedIDs() []api.WebhookID {
	ids := make([]api.WebhookID, 0, len(l.webhooks))
	for id := range l.webhooks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// updateRates passes to the policy the rates that have changed because this member's share of them has.
func (l *Loop) updateRates() {
	var changed []api.EndpointEntry
	for id, entry := range l.endpoints {
		if shared := l.withRateShare(entry); shared.Rate != l.rates[id] {
			changed = append(changed, shared)
		}
	}
	if len(changed) == 0 {
		return
	}
	slices.SortFunc(changed, func(a, b api.EndpointEntry) int { return int(int64(a.Endpoint) - int64(b.Endpoint)) })
	l.recordRates(changed)
	l.policy.UpdateEndpoints(changed, false)
}

// withRateShare returns an entry with its rate scaled so that the policy, which divides rates evenly by the number of
// dispatchers, arrives at this member's share.
func (l *Loop) withRateShare(entry api.EndpointEntry) api.EndpointEntry {
	entry.Rate *= l.cluster.RateShare(entry.Destination) * float64(max(l.settings.Dispatchers, 1))
	return entry
}

func (l *Loop) recordRates(entries []api.EndpointEntry) {
	if l.rates == nil {
		l.rates = map[api.EndpointID]float64{}
	}
	for _, entry := range entries {
		l.rates[entry.Endpoint] = entry.Rate
	}
}

// takeEndpoints stores a list's entries, and returns them with rates scaled by withRateShare.
func (l *Loop) takeEndpoints(entries []api.EndpointEntry, complete bool) []api.EndpointEntry {
	if l.cluster == nil {
		return entries
	}
	if complete {
		clear(l.endpoints)
		l.rates = nil
	}
	all := make([]api.EndpointEntry, 0, len(entries))
	for _, entry := range entries {
		l.endpoints[entry.Endpoint] = entry
		if entry.Status == api.EndpointRemoved {
			delete(l.endpoints, entry.Endpoint)
			delete(l.rates, entry.Endpoint)
		}
		all = append(all, l.withRateShare(entry))
	}
	l.recordRates(all)
	return all
}

package member

import (
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
)

// admission implements the hooks of the dispatcher's event loop: which calls are allowed here, and the end of webhooks.
type admission struct{ m *Member }

var (
	_ eventloop.Cluster     = admission{}
	_ eventloop.EndObserver = admission{}
)

// MayCall reports whether a destination may be called from here now.
func (a admission) MayCall(dest api.DestinationID, ordered bool) bool {
	may, asRelay := a.m.sites.MayCall(dest)
	return may && (asRelay || a.m.ownership.Decide(dest).AllowsCall(ordered))
}

// RateShare returns the share of a destination's rate, from 0 to 1, that may be used here.
func (a admission) RateShare(dest api.DestinationID) float64 {
	return a.m.sites.RateShare(dest, a.m.ownership.Decide(dest).RateShare(int(a.m.memberCount.Load())))
}

// IsInDoubt reports whether another member may have a webhook that was recovered from the journal.
func (a admission) IsInDoubt(of inflight.RequestID) bool { return a.m.custody.IsInDoubt(of) }

// WebhookEnded counts the end of a webhook.
func (a admission) WebhookEnded(w *inflight.Webhook, how eventloop.Ending) {
	a.m.reporter.CountEnd(w, how)
}

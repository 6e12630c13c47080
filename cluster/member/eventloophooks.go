package member

import (
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
)

// eventLoopHooks implements the hooks by which the dispatcher's event loop asks the member which calls it may make, and
// reports the end of webhooks.
type eventLoopHooks struct{ m *Member }

var (
	_ eventloop.Cluster     = eventLoopHooks{}
	_ eventloop.EndObserver = eventLoopHooks{}
)

// MayCall reports whether this member may call a destination now. ordered is whether the webhook has an ordering key
// and an ordered event type.
func (a eventLoopHooks) MayCall(dest api.DestinationID, ordered bool) bool {
	may, asRelay := a.m.sites.MayCall(dest)
	return may && (asRelay || a.m.ownership.Decide(dest).AllowsCall(ordered))
}

// RateShare returns the share of a destination's rate limit, from 0 to 1, that this member may use.
func (a eventLoopHooks) RateShare(dest api.DestinationID) float64 {
	return a.m.sites.RateShare(dest, a.m.ownership.Decide(dest).RateShare(int(a.m.memberCount.Load())))
}

// IsInDoubt reports whether another member may have custody of a webhook that was recovered from the journal.
func (a eventLoopHooks) IsInDoubt(of inflight.RequestID) bool { return a.m.custody.IsInDoubt(of) }

// WebhookEnded counts the outcome of a webhook that has ended.
func (a eventLoopHooks) WebhookEnded(w *inflight.Webhook, how eventloop.Ending) {
	a.m.reporter.CountOutcome(w, how)
}

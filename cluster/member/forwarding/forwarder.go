// Package forwarding forwards webhooks to the owner of their range: a Forwarder offers those that clients submit to
// this member, a Receiver accepts those that other members forward or hand off.
package forwarding

import (
	"errors"
	"log/slog"
	"time"

	"rowanlink/cluster/member/custody"
	"rowanlink/cluster/member/ownership"
	"rowanlink/cluster/member/peer"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
)

const (
	// hopDivisor is the fraction of the time-out of a client's response that one hop may take: the rest is for accepting
	// the webhook here.
	hopDivisor = 3
	// retryInterval is the time between two attempts while a range is closed or its owner has an older map.
	retryInterval = inflight.AnswerTimeout / hopDivisor / hopDivisor / hopDivisor
)

// AcceptFunc accepts a webhook in this process. With inflight.Rejected it returns after how long the client may retry.
type AcceptFunc = func() (inflight.Answer, api.Micros)

// Handoffs is the part of handoff.Manager that this package needs.
type Handoffs interface {
	// IsOrdered reports whether a webhook has to be delivered in the order of its key.
	IsOrdered(*inflight.Webhook) bool
	// RecordArrival records by which move a webhook arrived; 0: by none, or it was not accepted.
	RecordArrival(inflight.RequestID, shardmap.MoveID)
	// ApplyState imports state that another member has learned. offset is by how much this clock is ahead of that
	// member's.
	ApplyState(learned []api.DestinationState, offset api.Micros)
}

// Config is what a Forwarder and a Receiver are made from.
type Config struct {
	Ownership     *ownership.Manager
	Custody       *custody.Store
	Metrics       *custody.Metrics
	Peers         *peer.Client
	Inbox         *inflight.Inbox
	Loop          *eventloop.Loop
	Handoffs      Handoffs
	MaxClockDrift float64 // the most by which the rates of two clocks differ, as a fraction
}

// Forwarder forwards clients' webhooks to the owners of their ranges. Its methods may be called concurrently.
type Forwarder struct{ Config }

// NewForwarder returns a Forwarder.
func NewForwarder(c Config) *Forwarder { return &Forwarder{c} }

// forwardOutcome is the outcome of offering a client's webhook to the owner.
type forwardOutcome uint8

const (
	// keptHere is a webhook that is accepted here, in doubt or not.
	keptHere forwardOutcome = iota
	// answeredByOwner is one that the owner has answered.
	answeredByOwner
	// retryLater is one that the owner can't accept yet.
	retryLater
)

// forwardResult is an outcome with the response to the client, which is set if the owner has responded.
type forwardResult struct {
	outcome    forwardOutcome
	answer     inflight.Answer
	retryAfter api.Micros
}

// Forward forwards a client's webhook to the owner of its range and returns that member's response. A webhook that the
// owner can't accept is accepted here and parked until it can be handed off. It is in the custody of the one member
// that has it in its journal.
func (f *Forwarder) Forward(w *inflight.Webhook, accept AcceptFunc) (inflight.Answer, api.Micros) {
	deadline := inflight.Now() + inflight.AnswerTimeout - inflight.AnswerTimeout/hopDivisor
	for {
		here := f.acceptHere(w, accept)
		if here.accepted {
			return here.answer, here.retryAfter
		}
		result := forwardResult{outcome: retryLater}
		forwarded := here.decision.Action == shardmap.Forward
		if forwarded {
			result = f.offerToOwner(w, here.decision)
		}
		switch {
		case result.outcome == answeredByOwner:
			return result.answer, result.retryAfter
		case result.outcome == keptHere, forwarded && !f.Handoffs.IsOrdered(w):
			return accept()
		case inflight.Now() > deadline: // the move should have switched by then
			return inflight.Rejected, inflight.AnswerTimeout
		}
		time.Sleep(retryInterval.Duration())
	}
}

// localAcceptance tells whether a webhook was accepted here, with the response to its client, and else the decision
// about it.
type localAcceptance struct {
	accepted   bool
	answer     inflight.Answer
	retryAfter api.Micros
	decision   shardmap.Decision
}

// acceptHere accepts a webhook that this member owns, or that has to wait here for an earlier webhook of its key. While
// the range is closed it accepts none: one that is accepted after the last count before a switch would be out of order.
func (f *Forwarder) acceptHere(w *inflight.Webhook, accept AcceptFunc) localAcceptance {
	end := f.Ownership.BeginAdmission()
	defer end()
	decision := f.Ownership.Decide(w.Destination)
	if f.Ownership.IsClosed(decision) || decision.Action == shardmap.Forward && !f.Loop.WaitsForEarlier(w) {
		return localAcceptance{decision: decision}
	}
	answer, retryAfter := accept()
	return localAcceptance{accepted: true, answer: answer, retryAfter: retryAfter, decision: decision}
}

// offerToOwner offers a client's webhook to the owner, and if that redirects by a newer map, to the owner named there.
func (f *Forwarder) offerToOwner(w *inflight.Webhook, decision shardmap.Decision) forwardResult {
	id := custody.IDOf(w.RequestID)
	handoff := f.Custody.NextHandoff(id)
	for hops := 0; ; hops++ {
		sentAt := inflight.Now()
		webhook := peer.EncodeWebhook(eventloop.Parked{Webhook: w, MayHaveRunAt: api.Never}, id, handoff)
		sent, err := f.Peers.Send(decision.Owner, peer.WebhookPath, peer.Transfer{
			MapVersion: decision.Version,
			SentAt:     sentAt,
			Webhooks:   []shardmap.TransferredWebhook{webhook},
		}, inflight.AnswerTimeout/hopDivisor, true)
		var reply peer.Outcome
		if err == nil {
			reply = sent.Outcomes[0]
		}
		switch {
		case errors.Is(err, transport.ErrNotSent):
			return forwardResult{outcome: keptHere}
		case err != nil || reply.Reply == shardmap.CustodyUnknown || reply.Reply == shardmap.CustodyStateLost:
			return f.keepInDoubt(w, handoff, shardmap.Offer{To: decision.Owner, Incarnation: sent.Incarnation,
				Range: decision.Range, Epoch: decision.Epoch, SentAt: sentAt})
		case reply.Duplicate:
			return forwardResult{outcome: answeredByOwner, answer: inflight.Duplicate}
		case reply.Reply == shardmap.CustodyTaken:
			f.Metrics.Forwarded.Add(1)
			return forwardResult{outcome: answeredByOwner, answer: inflight.Accepted}
		case reply.Reply == shardmap.CustodyRejected && reply.Admission == 0:
			return forwardResult{outcome: answeredByOwner, answer: inflight.Rejected, retryAfter: reply.RetryAfter}
		case reply.Reply == shardmap.CustodyNever: // its TTL has passed: it ends here
			return forwardResult{outcome: keptHere}
		case !shardmap.ShouldFollowRedirect(decision, reply.Decision, reply.Admission, hops):
			return forwardResult{outcome: retryLater}
		}
		decision = reply.Decision
		decision.Action = shardmap.Forward
	}
}

// keepInDoubt keeps a webhook here that its owner may have. This member makes no call for it until the doubt is
// resolved, also after a restart. If the custody record can't be written, the webhook is journalled as one that may
// have run.
func (f *Forwarder) keepInDoubt(w *inflight.Webhook, handoff shardmap.HandoffNumber,
	offer shardmap.Offer) forwardResult {
	slog.Warn("webhook in doubt: its owner did not answer", "webhook", w.RequestID, "owner", offer.To)
	f.Metrics.InDoubt.Add(1)
	id := custody.IDOf(w.RequestID)
	recorded := false
	err := f.Custody.Update([]shardmap.WebhookID{id}, func(t *shardmap.CustodyTable) {
		recorded = t.RecordUnansweredForward(id, handoff, w.Deadline, offer)
	})
	w.InDoubt, w.MustKeep = true, true
	if err != nil {
		w.Prior = &inflight.PriorAttempts{Attempts: 1, MayHaveRunAt: offer.SentAt}
		return forwardResult{outcome: keptHere}
	}
	if !recorded { // it was transferred back meanwhile, and is pending
		return forwardResult{outcome: answeredByOwner, answer: inflight.Accepted}
	}
	return forwardResult{outcome: keptHere}
}

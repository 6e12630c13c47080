// Package forwarding forwards webhooks to the owner of their range. When a client submits a webhook to this member, a
// Forwarder offers the webhook to its owner. A Receiver accepts the webhooks that other members forward or hand off to
// this member.
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
	// forwardTimeoutDivisor sets the time-out of one request to an owner: inflight.AnswerTimeout/forwardTimeoutDivisor.
	// The rest of AnswerTimeout, within which the client must get a response, remains for accepting the webhook here.
	// Forward starts no attempt in the last AnswerTimeout/forwardTimeoutDivisor.
	forwardTimeoutDivisor = 3
	// retryInterval is the time between two attempts of Forward, which it makes while the range is closed or the owner
	// can't accept the webhook yet.
	retryInterval = inflight.AnswerTimeout / forwardTimeoutDivisor / forwardTimeoutDivisor / forwardTimeoutDivisor
)

// AcceptFunc accepts a webhook at this member's dispatcher. With inflight.Rejected it also returns the time after which
// the client may retry.
type AcceptFunc = func() (inflight.Answer, api.Micros)

// Handoffs is the part of handoff.Manager that this package needs.
type Handoffs interface {
	// IsOrdered reports whether a webhook has to be delivered in order with the other webhooks of its ordering key.
	IsOrdered(*inflight.Webhook) bool
	// RecordArrival records the move by which a webhook arrived. Move 0 removes the record: the webhook arrived by no
	// move, or was not accepted.
	RecordArrival(inflight.RequestID, shardmap.MoveID)
	// ApplyState imports the state that another member has learned about destinations. Its times are by that member's
	// clock; offset is how far this member's clock is ahead.
	ApplyState(learned []api.DestinationState, offset api.Micros)
}

// Config holds the dependencies and settings of a Forwarder or a Receiver.
type Config struct {
	Ownership     *ownership.Manager
	Custody       *custody.Store
	Metrics       *custody.Metrics
	Peers         *peer.Client
	Inbox         *inflight.Inbox
	Loop          *eventloop.Loop
	Handoffs      Handoffs
	MaxClockDrift float64 // maximum difference between the rates of two clocks, as a fraction
}

// Forwarder forwards clients' webhooks to the owners of their ranges. Its methods may be called concurrently.
type Forwarder struct{ Config }

// NewForwarder returns a Forwarder with these dependencies.
func NewForwarder(c Config) *Forwarder { return &Forwarder{c} }

// forwardOutcome is the outcome of offering a client's webhook to the owner.
type forwardOutcome uint8

const (
	// keptHere: the webhook is to be accepted by this member, in doubt or not.
	keptHere forwardOutcome = iota
	// answeredByOwner: the owner has decided, and the response to the client is known.
	answeredByOwner
	// retryLater: the owner can't accept the webhook yet.
	retryLater
)

// forwardResult is an outcome, with the response to the client if the outcome is answeredByOwner.
type forwardResult struct {
	outcome    forwardOutcome
	answer     inflight.Answer
	retryAfter api.Micros
}

// Forward forwards a client's webhook to the owner of its range and returns the owner's response. If the owner doesn't
// answer, or can't accept the webhook yet and the webhook is not ordered, it is accepted here and parked until it can
// be handed off. While the range is closed here, Forward tries again and finally rejects the webhook; it does the same
// for an ordered webhook that the owner can't accept yet. The one member that has the webhook in its journal has
// custody of it.
func (f *Forwarder) Forward(w *inflight.Webhook, accept AcceptFunc) (inflight.Answer, api.Micros) {
	deadline := inflight.Now() + inflight.AnswerTimeout - inflight.AnswerTimeout/forwardTimeoutDivisor
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
		case inflight.Now() > deadline: // a move should have switched by now
			return inflight.Rejected, inflight.AnswerTimeout
		}
		time.Sleep(retryInterval.Duration())
	}
}

// localAcceptance is the result of acceptHere: whether the webhook was accepted by this member, with the response to
// the client if it was, and the decision by which it was accepted or not.
type localAcceptance struct {
	accepted   bool
	answer     inflight.Answer
	retryAfter api.Micros
	decision   shardmap.Decision
}

// acceptHere accepts a webhook unless it has to be forwarded to another member or its range is closed. A webhook that
// has to wait here for an earlier webhook of its ordering key is accepted even if another member owns it. A closed
// range admits none: a webhook that is accepted after the last count of pending webhooks before the switch would be
// delivered out of order.
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

// offerToOwner offers a client's webhook to the owner. If that member redirects because of a newer map, offerToOwner
// offers the webhook to the owner that it names.
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
		}, inflight.AnswerTimeout/forwardTimeoutDivisor, true)
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
		// Admission is 0 if the rejection isn't due to the owner's map, such as a rejection by its dispatcher.
		case reply.Reply == shardmap.CustodyRejected && reply.Admission == 0:
			return forwardResult{outcome: answeredByOwner, answer: inflight.Rejected, retryAfter: reply.RetryAfter}
		case reply.Reply == shardmap.CustodyNeverTaken: // the webhook has expired: it is accepted here, and ends here
			return forwardResult{outcome: keptHere}
		case !shardmap.ShouldFollowRedirect(decision, reply.Decision, reply.Admission, hops):
			return forwardResult{outcome: retryLater}
		}
		decision = reply.Decision
		decision.Action = shardmap.Forward
	}
}

// keepInDoubt keeps a webhook that its owner may have accepted here, in doubt. This member doesn't call its destination
// until the custody is resolved, even after a restart. If the custody record can't be written, the webhook is
// journalled as one whose destination may have been called.
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
	if !recorded { // the webhook was transferred back meanwhile and is pending here already
		return forwardResult{outcome: answeredByOwner, answer: inflight.Accepted}
	}
	return forwardResult{outcome: keptHere}
}

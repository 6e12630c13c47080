package member

import (
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// A forward takes at most this part of a client's patience, each hop: the rest is for keeping it here.
const hopDivisor = 3

// forwarder sends webhooks to their homes and takes those that are sent here.
type forwarder struct {
	ownership *Ownership
	exchange  *inflight.Exchange
	client    *transport.Client
	custody   *Store
	handoff   *Handoff

	maxClockDrift float64

	mu           sync.Mutex
	clockOffsets map[cluster.MemberID]*shardmap.ClockOffset
	incarnations map[cluster.MemberID]uint64 // of their folders, as told last
}

// AcceptFunc takes a webhook on in this process.
type AcceptFunc = func() (inflight.Answer, api.Micros)

// forwardOutcome is how far a client's webhook came on its way to its home.
type forwardOutcome uint8

const (
	keptHere        forwardOutcome = iota // kept here, in doubt or not
	answeredByOwner                       // by its home, or for it
	retryLater                            // its home can't take it yet
)

// Forward takes a client's webhook to its home and answers as that does. What can't be taken there is kept here,
// parked until its home can be reached: it is owned by whoever's journal says so, and by nobody twice.
func (f *forwarder) Forward(w *inflight.Webhook, here AcceptFunc) (inflight.Answer, api.Micros) {
	for until := inflight.Now() + inflight.AnswerWithin - inflight.AnswerWithin/hopDivisor; ; {
		v, what, retryIn, kept := f.acceptHere(w, here)
		if kept {
			return what, retryIn
		}
		how := retryLater
		if v.Action == shardmap.Forward {
			what, retryIn, how = f.offerToOwner(w, v)
		}
		switch {
		case how == answeredByOwner:
			return what, retryIn
		case how == keptHere, v.Action == shardmap.Forward && !f.handoff.IsOrdered(w):
			return here()
		case inflight.Now() > until: // rejected, and told when the switch should be through
			return inflight.Rejected, inflight.AnswerWithin
		}
		time.Sleep(inflight.Span(inflight.AnswerWithin / hopDivisor / hopDivisor / hopDivisor))
	}
}

// acceptHere takes on here what belongs here, or what has to wait here for an earlier one of its key, unless the
// range is shut: guards against what comes after the last count before a switch.
func (f *forwarder) acceptHere(w *inflight.Webhook, here AcceptFunc) (v shardmap.Decision, what inflight.Answer,
	retryIn api.Micros, kept bool) {
	f.ownership.admissionMu.RLock()
	defer f.ownership.admissionMu.RUnlock()
	v = f.ownership.Verdict(w.Destination)
	if f.ownership.IsClosed(v) || v.Action == shardmap.Forward && !f.handoff.decider.Follows(w) {
		return v, 0, 0, false
	}
	what, retryIn = here()
	return v, what, retryIn, true
}

// offerToOwner offers a client's webhook to its home.
func (f *forwarder) offerToOwner(w *inflight.Webhook, v shardmap.Decision) (inflight.Answer, api.Micros, forwardOutcome) {
	hand := f.custody.NextHand(NameOf(w.RequestID))
	for hops := 0; ; hops++ {
		at := inflight.Now()
		hs, life, err := f.Send(v.Owner, WebhookPath, Transfer{MapVersion: v.Version, SentAt: at,
			Webhooks: []shardmap.TransferredWebhook{NewCarried(w, hand, 0, api.Never, 0)}}, inflight.AnswerWithin/hopDivisor, true)
		h := Outcome{}
		if err == nil {
			h = hs[0]
		}
		switch {
		case errors.Is(err, transport.ErrNotSent):
			return 0, 0, keptHere
		case err != nil || h.Reply == shardmap.CustodyUnknown || h.Reply == shardmap.CustodyStateLost:
			if !f.keepInDoubt(w, hand, shardmap.Offer{To: v.Owner, Incarnation: life, Range: v.Range, Epoch: v.Epoch, SentAt: at}) {
				return inflight.Taken, 0, answeredByOwner
			}
			return 0, 0, keptHere
		case h.Duplicate:
			return inflight.Doubled, 0, answeredByOwner
		case h.Reply == shardmap.CustodyTaken:
			f.ownership.session.Forwarded.Add(1)
			return inflight.Taken, 0, answeredByOwner
		case h.Reply == shardmap.CustodyRejected && h.Admission == 0:
			return inflight.Rejected, h.RetryAfter, answeredByOwner
		case h.Reply == shardmap.CustodyNever: // its time is up: here it ends
			return 0, 0, keptHere
		case !shardmap.ShouldFollowRedirect(v, h.Verdict, h.Admission, hops):
			return 0, 0, retryLater
		}
		h.Verdict.Action = shardmap.Forward
		v = h.Verdict
	}
}

// Send sends webhooks to a member's folder, of the life that was told last, and reads one answer for each.
// Where that folder is new, nothing was taken: again sends them to that. Errors as talk.Say's.
func (f *forwarder) Send(to cluster.MemberID, path string, s Transfer, within api.Micros, again bool) ([]Outcome,
	uint64, error) {
	for ; ; again = false {
		s.Incarnation = f.Incarnation(to)
		status, raw, err := f.client.Call(to, path, transport.Encode(s), inflight.Span(within))
		var hs TransferReply
		if err == nil && status == fasthttp.StatusOK {
			err = transport.Decode(raw, &hs)
		}
		switch {
		case err != nil:
			return nil, s.Incarnation, err
		case status != fasthttp.StatusOK:
			return nil, s.Incarnation, fmt.Errorf("%w: status %d", transport.ErrOutcomeUnknown, status)
		case hs.Incarnation != s.Incarnation:
			f.setIncarnation(to, hs.Incarnation)
			if again {
				continue
			}
			return nil, s.Incarnation, fmt.Errorf("%w: its folder is new", transport.ErrNotSent)
		case len(hs.Outcomes) != len(s.Webhooks):
			return nil, s.Incarnation, fmt.Errorf("%w: %d answers", transport.ErrOutcomeUnknown, len(hs.Outcomes))
		}
		return hs.Outcomes, s.Incarnation, nil
	}
}

func (f *forwarder) Incarnation(of cluster.MemberID) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.incarnations[of]
}

func (f *forwarder) setIncarnation(of cluster.MemberID, life uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incarnations[of] = life
}

// keepInDoubt has a webhook kept here that its home may have: nobody here calls before that is settled, after a
// restart either. Where that can't be written, the restart finds that it may have run. false: it has come
// back here by now, and is held.
func (f *forwarder) keepInDoubt(w *inflight.Webhook, hand shardmap.HandoffNumber, o shardmap.Offer) (kept bool) {
	slog.Warn("webhook in doubt: its home gave no answer", "webhook", w.RequestID, "home", o.To)
	f.ownership.session.InDoubt.Add(1)
	name := NameOf(w.RequestID)
	err := f.custody.Update([]shardmap.WebhookID{name}, func(k *shardmap.CustodyTable) { kept = k.RecordUnansweredForward(name, hand, w.TTL, o) })
	if w.InDoubt, w.Keep = true, true; err != nil {
		w.Past, kept = &inflight.Past{Attempts: 1, MayRun: o.SentAt}, true
	}
	return kept
}

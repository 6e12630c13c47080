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
const hopPart = 3

// forwarding sends webhooks to their homes and takes those that are sent here.
type forwarding struct {
	homes *homes
	x     *inflight.Exchange
	talk  *transport.Talk
	names *names
	side  *owing

	apart float64

	mu     sync.Mutex
	clocks map[cluster.MemberID]*shardmap.Clock
	lives  map[cluster.MemberID]uint64 // of their folders, as told last
}

// taker takes a webhook on in this process.
type taker = func() (inflight.Answer, api.Micros)

// went is how far a client's webhook came on its way to its home.
type went uint8

const (
	stays    went = iota // kept here, in doubt or not
	answered             // by its home, or for it
	later                // its home can't take it yet
)

// Away takes a client's webhook to its home and answers as that does. What can't be taken there is kept here,
// parked until its home can be reached: it is owned by whoever's journal says so, and by nobody twice.
func (f *forwarding) Away(w *inflight.Webhook, here taker) (inflight.Answer, api.Micros) {
	for until := inflight.Now() + inflight.AnswerWithin - inflight.AnswerWithin/hopPart; ; {
		v, what, retryIn, kept := f.keeps(w, here)
		if kept {
			return what, retryIn
		}
		how := later
		if v.Do == shardmap.Forward {
			what, retryIn, how = f.goes(w, v)
		}
		switch {
		case how == answered:
			return what, retryIn
		case how == stays, v.Do == shardmap.Forward && !f.side.ordered(w):
			return here()
		case inflight.Now() > until: // rejected, and told when the switch should be through
			return inflight.Rejected, inflight.AnswerWithin
		}
		time.Sleep(inflight.Span(inflight.AnswerWithin / hopPart / hopPart / hopPart))
	}
}

// keeps takes on here what belongs here, or what has to wait here for an earlier one of its key, unless the
// range is shut: guards against what comes after the last count before a switch.
func (f *forwarding) keeps(w *inflight.Webhook, here taker) (v shardmap.Verdict, what inflight.Answer,
	retryIn api.Micros, kept bool) {
	f.homes.door.RLock()
	defer f.homes.door.RUnlock()
	v = f.homes.Verdict(w.Destination)
	if f.homes.isShut(v) || v.Do == shardmap.Forward && !f.side.decider.Follows(w) {
		return v, 0, 0, false
	}
	what, retryIn = here()
	return v, what, retryIn, true
}

// goes offers a client's webhook to its home.
func (f *forwarding) goes(w *inflight.Webhook, v shardmap.Verdict) (inflight.Answer, api.Micros, went) {
	hand := f.names.Next(nameOf(w.RequestID))
	for hops := 0; ; hops++ {
		at := inflight.Now()
		hs, life, err := f.say(v.To, webhookPath, sent{Version: v.Version, At: at,
			All: []shardmap.Carried{carried(w, hand, 0, api.Never, 0)}}, inflight.AnswerWithin/hopPart, true)
		h := heard{}
		if err == nil {
			h = hs[0]
		}
		switch {
		case errors.Is(err, transport.ErrNotSent):
			return 0, 0, stays
		case err != nil || h.Reply == shardmap.Silent || h.Reply == shardmap.Forgot:
			if !f.doubt(w, hand, shardmap.Offer{To: v.To, Life: life, Range: v.Range, Epoch: v.Epoch, SentAt: at}) {
				return inflight.Taken, 0, answered
			}
			return 0, 0, stays
		case h.Doubled:
			return inflight.Doubled, 0, answered
		case h.Reply == shardmap.Has:
			f.homes.session.Forwarded.Add(1)
			return inflight.Taken, 0, answered
		case h.Reply == shardmap.Refuses && h.Refused == 0:
			return inflight.Rejected, h.RetryIn, answered
		case h.Reply == shardmap.Never: // its time is up: here it ends
			return 0, 0, stays
		case !shardmap.Again(v, h.Told, h.Refused, hops):
			return 0, 0, later
		}
		h.Told.Do = shardmap.Forward
		v = h.Told
	}
}

// say sends webhooks to a member's folder, of the life that was told last, and reads one answer for each.
// Where that folder is new, nothing was taken: again sends them to that. Errors as talk.Say's.
func (f *forwarding) say(to cluster.MemberID, path string, s sent, within api.Micros, again bool) ([]heard,
	uint64, error) {
	for ; ; again = false {
		s.Life = f.life(to)
		status, raw, err := f.talk.Say(to, path, transport.Encode(s), inflight.Span(within))
		var hs heards
		if err == nil && status == fasthttp.StatusOK {
			err = transport.Decode(raw, &hs)
		}
		switch {
		case err != nil:
			return nil, s.Life, err
		case status != fasthttp.StatusOK:
			return nil, s.Life, fmt.Errorf("%w: status %d", transport.ErrUnsure, status)
		case hs.Life != s.Life:
			f.lived(to, hs.Life)
			if again {
				continue
			}
			return nil, s.Life, fmt.Errorf("%w: its folder is new", transport.ErrNotSent)
		case len(hs.All) != len(s.All):
			return nil, s.Life, fmt.Errorf("%w: %d answers", transport.ErrUnsure, len(hs.All))
		}
		return hs.All, s.Life, nil
	}
}

func (f *forwarding) life(of cluster.MemberID) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lives[of]
}

func (f *forwarding) lived(of cluster.MemberID, life uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lives[of] = life
}

// doubt has a webhook kept here that its home may have: nobody here calls before that is settled, after a
// restart either. Where that can't be written, the restart finds that it may have run. false: it has come
// back here by now, and is held.
func (f *forwarding) doubt(w *inflight.Webhook, hand shardmap.Hand, o shardmap.Offer) (kept bool) {
	slog.Warn("webhook in doubt: its home gave no answer", "webhook", w.RequestID, "home", o.To)
	f.homes.session.Doubts.Add(1)
	name := nameOf(w.RequestID)
	err := f.names.Change([]shardmap.Name{name}, func(k *shardmap.Known) { kept = k.Sent(name, hand, w.TTL, o) })
	if w.InDoubt, w.Keep = true, true; err != nil {
		w.Past, kept = &inflight.Past{Attempts: 1, MayRun: o.SentAt}, true
	}
	return kept
}

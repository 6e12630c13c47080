package lease

import (
	"errors"
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// deliver lets a message arrive: what the keeper and the member do with the real objects.
func (w *world) deliver(i int, again bool) {
	m := w.net[i]
	if !again {
		w.net = slices.Delete(w.net, i, i+1)
	}
	switch m.kind {
	case openAsk:
		w.open(m)
	case renewHeld:
		w.renew(m)
	case yes:
		if m.proc >= 0 {
			if w.wrong.answerTime {
				m.ask.startedAt = w.clock(m.proc)
			}
			w.own(m.proc).ConfirmRenewal(m.ask, m.session)
		}
	case no:
		w.own(m.proc).HandleRejection(m.session)
	case grantAsk:
		a, err := w.apply(AcquireLeases(m.session, worldTask))
		if m.proc < 0 {
			return
		}
		if errors.Is(err, cluster.ErrNotFound) {
			w.send(message{kind: no, proc: m.proc, session: m.session})
		} else if a.Grants[0].Err() == nil {
			w.send(message{kind: granted, proc: m.proc, session: a.Session, epoch: a.Grants[0].Epoch})
		}
	case granted:
		w.own(m.proc).AddGrant(m.session, Grant{worldTask, m.epoch})
	case releaseAsk:
		_, _ = w.apply(ReleaseLease(m.session, worldTask, m.epoch))
	case endAsk:
		w.end(EndSession(m.session), m.session)
	case expireAsk:
		w.expire(m)
	case assentSaid:
		if w.wrong.verifiedLate {
			m.at = w.keeperClock(m.keeper)
		}
		w.heard(m.keeper, m.term, m.at)
	case deed:
		w.acted(m.epoch)
	}
}

func (w *world) apply(c cluster.Command) (a Result, err error) {
	w.index++
	before := w.book.LastEpoch(worldTask)
	raw, err := w.ownBook().Apply(w.index, c.Body)
	if err != nil {
		return Result{}, err
	}
	if w.book.LastEpoch(worldTask) < before {
		w.broken = "an epoch fell"
	}
	if a, err = DecodeResult(raw); err != nil {
		panic(err)
	}
	return a, nil
}

// elect lets a keeper lead; the one that led before may go on believing that it does.
func (w *world) elect(k int) {
	w.term++
	w.leader = k
	a, _ := w.apply(BeginLeaderEpoch())
	n := w.ownKeeper(k)
	n.believes = true
	if w.wrong.noWholeTerm {
		n.terms.leaderEpoch = a.LeaderEpoch
	} else {
		n.terms.StartLeading(w.keeperClock(k), a.LeaderEpoch, w.book.Sessions())
	}
}

func (w *world) heard(k int, term uint64, sent api.Micros) {
	w.ownKeeper(k).assent.RecordContact(term, third, sent)
}

// open goes through the log, which proves the lead by itself. A process from before a death is nobody's: -1.
func (w *world) open(m message) {
	a, err := w.apply(OpenSession("m", m.life))
	if err != nil {
		panic(err)
	}
	goes := w.ownKeeper(w.leader).terms.AddOrRenew(a.Session, w.keeperClock(w.leader))
	if other := 1 - w.leader; w.wrong.noWholeTerm {
		w.ownKeeper(other).terms.AddOrRenew(a.Session, w.keeperClock(other))
	}
	m.kind, m.session, m.keeper, m.life = no, a.Session, 0, 0
	if goes {
		m.kind = yes
	}
	if m.proc >= 0 {
		w.send(m)
	}
}

// answers is whether a keeper would answer a renewal now: it believes that it leads and knows so.
func (w *world) answers(m message) bool {
	k := &w.keeper[m.keeper]
	return !k.believes || w.wrong.unverified || k.assent.HasQuorumSince(m.at)
}

func (w *world) renew(m message) {
	k := w.ownKeeper(m.keeper)
	if !k.believes {
		return
	}
	goes := k.terms.Renew(m.session, w.keeperClock(m.keeper))
	if _, counted := k.terms.sessions[m.session]; counted && w.wrong.renewsEnding {
		k.terms.sessions[m.session], goes = sessionExpiry{expiresAt: w.keeperClock(m.keeper) + worldTerm}, true
	}
	m.kind, m.at, m.keeper, m.life = no, 0, 0, 0
	if goes {
		m.kind = yes
	}
	w.send(m)
}

func (w *world) end(c cluster.Command, s cluster.SessionID) {
	if _, err := w.apply(c); !errors.Is(err, cluster.ErrStale) {
		w.ownKeeper(w.leader).terms.Remove(s)
		if w.wrong.noWholeTerm {
			w.ownKeeper(1 - w.leader).terms.Remove(s)
		}
	}
}

// expire is proposed by a keeper that found it, perhaps long after, in a later leading of its own.
func (w *world) expire(m message) {
	if m.keeper != w.leader {
		return
	}
	o := ExpiredSession{m.session, m.reign}
	if w.wrong.anyReign {
		o.LeaderEpoch = w.book.LeaderEpoch()
	}
	w.end(ExpireSession(o), m.session)
}

// broke tells what must never be, or "": two holders, and, before it comes to that, one whose task the log
// has freed already.
func (w *world) broke() string {
	holders, astray := 0, ""
	for p := range w.proc {
		if e, ok := w.proc[p].tenure.Epoch(worldTask, w.clock(p)); ok {
			holders++
			if !w.book.IsCurrent(worldTask, e) {
				astray = "a member holds what the log has freed"
			}
		}
	}
	if holders > 1 {
		return "two members hold the task"
	}
	if w.wrong.patient {
		astray = ""
	}
	return max(w.broken, astray)
}

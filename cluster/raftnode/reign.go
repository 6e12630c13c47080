package raftnode

import (
	"errors"
	"log/slog"
	"time"

	"github.com/hashicorp/raft"

	"rowanlink/cluster"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/timing"
	"rowanlink/webhook/api"
)

// ask is one renewal that waits until a majority is known to have followed at or after it came.
type ask struct {
	session cluster.SessionID
	tally   lease.Digest // of the grants that the member knows of
	came    api.Micros
	answer  chan<- said
}

// said is the answer; holds is all that the session holds, where the member does not know it.
type said struct {
	verdict verdict
	holds   []lease.Grant
}

// verdict on an ask.
type verdict byte

const (
	goesOn verdict = iota
	ended
	elsewhere // this keeper does not lead, or not surely
)

// run is the loop of all that has to do with leading. It has one timer.
func (k *Keeper) run() {
	defer k.done.Done()
	var waiting []ask
	timer := time.NewTimer(time.Hour)
	began := make(chan reign, 1)
	since := k.clock() // no leader since then
	for {
		timer.Reset(k.untilDue())
		select {
		case leads := <-k.lead:
			if k.stop(); leads {
				go k.begin(began)
			}
		case <-k.outdated:
			go k.begin(began)
		case r := <-began:
			k.start(r)
		case a := <-k.asks:
			waiting = append(waiting, a)
		case <-k.heard.tell:
		case <-timer.C:
		case <-k.ended:
			k.stop()
			answer(waiting, elsewhere)
			return
		}
		waiting = k.settle(waiting)
		k.endDue()
		since = k.look(since)
	}
}

// reign is a time of leading: its raft term, and its number in the book.
type reign struct {
	term   uint64
	number lease.LeaderEpoch
}

// begin puts a reign's beginning in the log: once that is applied, so is all that was committed before.
func (k *Keeper) begin(began chan<- reign) {
	term := k.raft.CurrentTerm()
	f := k.raft.ApplyLog(entry(lease.BeginLeaderEpoch()), 0)
	if f.Error() != nil {
		return
	}
	answer, err := lease.DecodeResult(f.Response().(applied).answer)
	if err != nil {
		return
	}
	select {
	case began <- reign{term, answer.LeaderEpoch}:
	case <-k.ended:
	}
}

// start gives each session its term. Guards against a reign that ended and another that began meanwhile.
func (k *Keeper) start(r reign) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.raft.CurrentTerm() != r.term || k.raft.State() != raft.Leader || k.halted != nil {
		return
	}
	again := k.reign != 0
	k.reign = r.term
	k.terms.StartLeading(k.clock(), r.number, k.book.Sessions())
	if again {
		return
	}
	k.Counters.Leads.Add(1)
	k.leading.Store(1)
	slog.Info("keeper leads", "member", k.self, "reign", r.number, "sessions", len(k.book.Sessions()),
		"log", k.raft.LastIndex())
}

func (k *Keeper) stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.reign == 0 {
		return
	}
	slog.Info("keeper leads no more", "member", k.self, "term", k.reign)
	k.terms.StopLeading()
	k.reign = 0
	k.LeadsNoMore.Add(1)
	k.leading.Store(0)
}

// settle answers the asks that came before a majority was surely there.
func (k *Keeper) settle(waiting []ask) []ask {
	if len(waiting) == 0 {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.reign == 0 {
		answer(waiting, elsewhere)
		return nil
	}
	assent := k.heard.assent(k.reign, k.raft.GetConfiguration().Configuration().Servers, k.folder.id)
	left, now := waiting[:0], k.clock()
	for _, a := range waiting {
		switch {
		case !assent.HasQuorumSince(a.came):
			left = append(left, a)
		case k.terms.Renew(a.session, now):
			k.Renewed.Add(1)
			yes := said{verdict: goesOn}
			if k.book.Digest(a.session) != a.tally {
				yes.holds = k.book.GrantsOf(a.session)
			}
			a.answer <- yes
		default:
			k.Refused.Add(1)
			a.answer <- said{verdict: ended}
		}
	}
	return left
}

func answer(all []ask, v verdict) {
	for _, a := range all {
		a.answer <- said{verdict: v}
	}
}

// endDue ends through the log the sessions whose term is over.
func (k *Keeper) endDue() {
	k.mu.Lock()
	var over []lease.ExpiredSession
	if k.reign != 0 {
		over = k.terms.TakeExpired(k.clock())
	}
	k.mu.Unlock()
	if len(over) > 0 {
		go k.end(over) // raft takes entries as its disk lets it: renewals don't wait for that
	}
}

func (k *Keeper) end(over []lease.ExpiredSession) {
	var all []raft.ApplyFuture
	for _, o := range over {
		all = append(all, k.raft.ApplyLog(entry(lease.ExpireSession(o)), span(timing.RequestTimeout(k.term))))
	}
	for _, f := range all {
		if f.Error() == nil && errors.Is(f.Response().(applied).err, cluster.ErrStale) {
			select {
			case k.outdated <- struct{}{}:
			case <-k.ended:
			}
			return
		}
	}
}

// look says it once when no leader is known for long, and once when one is again.
func (k *Keeper) look(since api.Micros) api.Micros {
	now := k.clock()
	if _, id := k.raft.LeaderWithID(); id != "" {
		if k.missing.Swap(0) == 1 {
			slog.Info("majority again", "member", k.self, "leader", memberOf(id))
		}
		return now
	}
	if now-since > timing.QuorumLossTimeout(k.term) && k.missing.Swap(1) == 0 {
		k.Counters.NoMajority.Add(1)
		slog.Warn("no majority: nothing is granted until a majority of the keepers hear each other",
			"member", k.self)
	}
	return since
}

// untilDue is how long nothing has to be done.
func (k *Keeper) untilDue() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	wait := timing.ReconfigureInterval(k.term)
	if at, any := k.terms.NextCheckAt(); any && k.reign != 0 {
		wait = min(wait, max(at-k.clock(), 0))
	}
	return span(wait) + time.Millisecond/2
}

package agent

import (
	"time"

	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

const (
	// firstAnswerWait is how long a fresh agent holds an answer back while it knows no record.
	firstAnswerWait = time.Second
	// confirmWait is how long it holds one back while a majority of the voters hasn't confirmed that the record that it
	// was handed is the newest. Whoever handed it over may be cut off from them. Where no majority is there it serves
	// with what it has in the end.
	confirmWait = 3 * time.Second
	// graceReserve is what an agent that waits for its proxy's end leaves of the time before SIGKILL.
	graceReserve = 300 * time.Millisecond
)

// board is what one goroutine owns: what the agent knows and what it has seen of its proxy.
type board struct {
	news     *news
	presence presence
	started  time.Time
	endBy    time.Time // zero: the agent wasn't told to end
	endWith  uint64    // incarnation of the proxy whose end the agent waits for
	heldBack bool      // answers were held back at the last tick
	// confirmed says that a majority of the voters was asked, and least is the newest revision that it told.
	confirmed bool
	least     uint64
}

// confirm takes in the newest revision that a majority of the voters told after the agent's start.
func (b *board) confirm(least uint64) {
	b.confirmed, b.least = true, least
	b.news.notify()
}

// holdsBack tells whether an answer would say next to nothing, or might tell a record from before, because the agent has
// only just begun.
func (b *board) holdsBack(now time.Time) bool {
	if b.news.record == nil {
		return now.Sub(b.started) < firstAnswerWait
	}
	current := b.confirmed && b.news.revision() >= b.least
	return !current && now.Sub(b.started) < confirmWait
}

// tick does what the passing of time asks for: it takes in the counts of proxies and wakes polls that were held back.
func (b *board) tick(now time.Time, proxies subscription.Proxies, synced bool) {
	b.news.takeProxies(proxies)
	b.news.sweep(now)
	if synced {
		b.news.setSynced()
	}
	holds := b.holdsBack(now)
	if b.heldBack && !holds {
		b.news.notify()
	}
	b.heldBack = holds
}

// proxyState is what other members are to be told.
func (b *board) proxyState(now time.Time) state.MemberState {
	if !b.endBy.IsZero() {
		return state.MemberLeaving
	}
	return b.presence.state(now)
}

// end notes that the agent was told to end.
func (b *board) end(now time.Time, grace time.Duration) {
	b.endBy = now.Add(grace - graceReserve)
	b.endWith = b.presence.incarnation
}

// mayEnd tells whether nothing keeps an agent that was told to end: its proxy is gone or the time is up. A proxy that
// was started meanwhile waits for the agent that comes next: this one names it to nobody any more.
func (b *board) mayEnd(now time.Time) bool {
	if b.endBy.IsZero() {
		return false
	}
	return b.presence.incarnation != b.endWith || !b.presence.alive(now) || !now.Before(b.endBy)
}

package member

import (
	"log/slog"
	"time"

	"rowanlink/cluster"
	"rowanlink/cluster/config"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/rebalance"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

// every looks when something changed, and now and then.
func (m *Member) every(poke chan struct{}, look func()) {
	defer m.done.Done()
	tick := time.NewTicker(span(m.file.Term) / looksBy)
	defer tick.Stop()
	for {
		select {
		case <-m.ended:
			return
		case <-poke:
		case <-tick.C:
		}
		look()
	}
}

func (m *Member) booked(_ uint64, snapshot []byte) {
	book := lease.NewTable()
	if err := book.Restore(snapshot); err != nil {
		slog.Error("leases not read", "why", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conductor.book = book
	m.nudge()
}

func (m *Member) planned(_ uint64, snapshot []byte) {
	p := &rebalance.Progress{}
	if err := p.Restore(snapshot); err != nil {
		slog.Error("plan's progress not read", "why", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conductor.progress = p
	m.progress.Store(p)
	m.nudge()
}

func (m *Member) conduct() {
	if m.keeper == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var able []shardmap.Able
	for _, w := range m.file.Members {
		able = append(able, shardmap.Able{Weight: shardmap.Weight{Member: w.ID, Weight: w.Weight}, Room: w.Room})
	}
	if m.conductor.conduct(m.wish, able, m.file.Ranges, m.clock()) {
		m.wish.fresh = false
	}
}

// Renew takes the dispatcher's settings and reads the file again; one that can't be used changes nothing.
func (m *Member) Renew(f api.Facts) {
	m.facts.Store(&f)
	m.again()
}

func (m *Member) again() {
	text, f, err := m.read()
	if err != nil {
		slog.Error("operator file not read again, the old one stays", "why", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	f.Term, f.Apart, f.Name = m.file.Term, m.file.Apart, m.file.Name // hold from start to end
	m.file, m.text = f, text
	m.wish = wish{text: text, groups: f.Groups(), fresh: true, resumes: m.conductor.stopped()}
	m.renewed(f)
	m.many.Store(int64(len(f.Members)))
	m.sites.Renew(f)
	slog.Info("operator file read again", "members", len(f.Members))
	m.nudge()
}

func (m *Member) renewed(f config.File) {
	m.talk.Renew(says(f))
	m.session.Keepers.Renew(keepers(f))
	if m.keeper != nil {
		m.keeper.Renew(logs(f))
	}
}

// Leave waits for one of the turns in which members leave, no longer than a term: at most so many leave at
// once, and one that can't have a turn leaves all the same, since its process is told to end.
func (m *Member) Leave() {
	turns := m.file.Leaving
	for i := range turns {
		m.session.Want(cluster.DepartureSlotResource(i))
	}
	until := time.Now().Add(leaveBy * span(m.file.Term))
	for time.Now().Before(until) {
		for i := range turns {
			if e, held := m.session.Holds(cluster.DepartureSlotResource(i)); held {
				for j := range turns {
					if j != i {
						m.session.Release(cluster.DepartureSlotResource(j))
					}
				}
				slog.Info("leaves in turn", "turn", i, "epoch", e)
				return
			}
		}
		time.Sleep(span(m.file.Term) / (looksBy * looksBy))
	}
	slog.Warn("leaves without a turn: none was free for a term")
}

// End gives everything up, so that nobody waits for this member's term, and hands the lead on.
func (m *Member) End() {
	close(m.ended)
	m.sites.End()
	m.done.Wait()
	m.session.Close()
	if m.keeper != nil {
		if err := m.keeper.Close(); err != nil {
			slog.Warn("log not closed in time", "why", err)
		}
	}
	m.server.Close(span(m.file.Term) / looksBy)
	m.talk.Close()
	m.names.Close()
}

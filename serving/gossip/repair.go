package gossip

import (
	"time"
)

// Times of the repair.
const (
	// settleSpan is how long a difference must stand without a change here before digests are compared. What is
	// merely on its way arrives in that time.
	settleSpan = 100 * time.Millisecond
	// repairInterval is the least time between two comparisons.
	repairInterval = 300 * time.Millisecond
	// persistSpan is how long differences may be seen while changes keep coming before digests are compared.
	persistSpan = 300 * time.Millisecond
	// idleRepairInterval is the time between two comparisons without a difference seen.
	idleRepairInterval = 5 * time.Second
	// remoteRepairs is about how many members of a region compare with another region after one difference.
	remoteRepairs = 2.0
)

// repairPlan holds what is known about differences.
type repairPlan struct {
	last    time.Time // of the last comparison
	partner string    // a member whose sums were seen to differ; empty: none
	tables  []TableID // that differ
	first   time.Time // when a difference was seen first since the last comparison
	seen    time.Time // when the partner's was seen
	changes uint64    // own changes up to then
}

// RepairTask is a comparison of digests that is due.
type RepairTask struct {
	Peer   Peer
	Tables []TableID // empty: all
}

// RecordSummary takes in the summary of a member and tells whether it differs from the own.
func (e *Engine) RecordSummary(now time.Time, name string, theirs Summary) (differing []TableID) {
	differing = e.DifferingTables(theirs)
	e.RecordDifference(now, name, differing)
	return differing
}

// RecordDifference tells in which tables a member was seen to differ; none says that it is equal.
func (e *Engine) RecordDifference(now time.Time, name string, tables []TableID) {
	peer, known := e.byName[name]
	if !known {
		return
	}
	if len(tables) == 0 {
		if e.repair.partner == name {
			e.repair = repairPlan{last: e.repair.last}
		}
		return
	}
	if peer.Region != e.options.Region && !e.drawsRemote() {
		return
	}
	first := e.repair.first
	if first.IsZero() {
		first = now
	}
	if e.repair.partner != "" && e.repair.changes == e.changes && peer.Region == e.options.Region {
		return // the difference noted still stands
	}
	e.repair = repairPlan{
		last: e.repair.last, partner: name, tables: tables, first: first, seen: now, changes: e.changes,
	}
}

// drawsRemote is true for about remoteRepairs members of the region.
func (e *Engine) drawsRemote() bool {
	return e.options.Random.Float64()*float64(e.inRegion+1) < remoteRepairs
}

// NextRepairTime is when a comparison is due for a difference seen; zero where there is none.
func (e *Engine) NextRepairTime() time.Time {
	if e.repair.partner == "" {
		return time.Time{}
	}
	due := e.repair.first.Add(persistSpan)
	if settled := e.repair.seen.Add(settleSpan); e.repair.changes == e.changes && settled.Before(due) {
		due = settled
	}
	if earliest := e.repair.last.Add(repairInterval); due.Before(earliest) {
		due = earliest
	}
	return due
}

// TakeDueRepair returns the comparison that is due now; false where none is.
func (e *Engine) TakeDueRepair(now time.Time) (RepairTask, bool) {
	noted := e.repair
	due := e.NextRepairTime()
	if !due.IsZero() && !now.Before(due) {
		e.repair = repairPlan{last: now}
		if peer, known := e.byName[noted.partner]; known {
			return RepairTask{Peer: peer, Tables: noted.tables}, true
		}
	}
	if now.Sub(e.repair.last) < idleRepairInterval {
		return RepairTask{}, false
	}
	e.repair = repairPlan{last: now}
	peer, found := e.drawPartner(now)
	return RepairTask{Peer: peer}, found
}

// partnerCount is from how many neighbours a partner without a known difference is drawn.
const partnerCount = 8

// drawPartner draws a peer for a comparison without a known difference, mostly of the own region.
func (e *Engine) drawPartner(now time.Time) (Peer, bool) {
	remote := e.drawsRemote()
	var fitting, others []Peer
	e.neighbours.update(now, e.options, e.peers)
	for _, peer := range e.neighbours.order {
		switch {
		case e.IsAvoided(now, peer.Name):
		case (peer.Region != e.options.Region) == remote:
			fitting = append(fitting, peer)
		default:
			others = append(others, peer)
		}
	}
	if len(fitting) == 0 {
		fitting = others
	}
	if len(fitting) == 0 {
		return Peer{}, false
	}
	return fitting[e.options.Random.IntN(min(len(fitting), partnerCount))], true
}

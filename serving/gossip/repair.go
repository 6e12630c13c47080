package gossip

import "time"

// Times of the anti-entropy repair.
const (
	// settleDelay is how long a difference must last, without a local change, before digests are compared. Entries that
	// are still in transit arrive in that time.
	settleDelay = 100 * time.Millisecond
	// repairInterval is the least time between two repairs.
	repairInterval = 300 * time.Millisecond
	// maxSettleDelay is how long differences may last during changes before digests are compared all the same.
	maxSettleDelay = 300 * time.Millisecond
	// idleRepairInterval is the time between two repairs while no difference is known.
	idleRepairInterval = 5 * time.Second
	// remoteRepairTarget is the expected number of members of a region that repair with another region after a
	// difference.
	remoteRepairTarget = 2.0
)

// pendingRepair is the difference that is to be repaired next.
type pendingRepair struct {
	lastRepair time.Time // time of the last repair
	partner    string    // a member with differing checksums; empty: none
	tables     []TableID // that differ
	firstSeen  time.Time // of any difference since the last repair
	lastSeen   time.Time // of the partner's difference
	changes    uint64    // Engine.changes at lastSeen
}

// RepairTask is a repair that is due: a comparison of digests with a peer.
type RepairTask struct {
	Peer   Peer
	Tables []TableID // empty: all
}

// RecordSummary records another member's summary and returns the tables that differ.
func (e *Engine) RecordSummary(now time.Time, name string, theirs Summary) (differing []TableID) {
	differing = e.DifferingTables(theirs)
	e.RecordDifference(now, name, differing)
	return differing
}

// RecordDifference records in which tables another member differs; none means that it is equal.
func (e *Engine) RecordDifference(now time.Time, name string, tables []TableID) {
	peer, known := e.byName[name]
	if !known {
		return
	}
	if len(tables) == 0 {
		if e.repairs.partner == name {
			e.repairs = pendingRepair{lastRepair: e.repairs.lastRepair}
		}
		return
	}
	if peer.Region != e.options.Region && !e.choosesRemote() {
		return
	}
	first := e.repairs.firstSeen
	if first.IsZero() {
		first = now
	}
	if e.repairs.partner != "" && e.repairs.changes == e.changes && peer.Region == e.options.Region {
		return // the recorded difference still applies
	}
	e.repairs = pendingRepair{
		lastRepair: e.repairs.lastRepair,
		partner:    name,
		tables:     tables,
		firstSeen:  first,
		lastSeen:   now,
		changes:    e.changes,
	}
}

// choosesRemote decides at random, so that it is true for about remoteRepairTarget members of the region.
func (e *Engine) choosesRemote() bool {
	return e.options.Random.Float64()*float64(e.regionPeers+1) < remoteRepairTarget
}

// NextRepairTime returns when the repair of a known difference is due; zero where there is none.
func (e *Engine) NextRepairTime() time.Time {
	if e.repairs.partner == "" {
		return time.Time{}
	}
	due := e.repairs.firstSeen.Add(maxSettleDelay)
	if settled := e.repairs.lastSeen.Add(settleDelay); e.repairs.changes == e.changes && settled.Before(due) {
		due = settled
	}
	if earliest := e.repairs.lastRepair.Add(repairInterval); due.Before(earliest) {
		due = earliest
	}
	return due
}

// TakeDueRepair returns the repair that is due; false where none is. The caller carries it out.
func (e *Engine) TakeDueRepair(now time.Time) (RepairTask, bool) {
	recorded := e.repairs
	due := e.NextRepairTime()
	if !due.IsZero() && !now.Before(due) {
		e.repairs = pendingRepair{lastRepair: now}
		if peer, known := e.byName[recorded.partner]; known {
			return RepairTask{Peer: peer, Tables: recorded.tables}, true
		}
	}
	if now.Sub(e.repairs.lastRepair) < idleRepairInterval {
		return RepairTask{}, false
	}
	e.repairs = pendingRepair{lastRepair: now}
	peer, found := e.selectRepairPartner(now)
	return RepairTask{Peer: peer}, found
}

// partnerCandidates is the number of ranked peers from which a partner without a known difference is selected.
const partnerCandidates = 8

// selectRepairPartner selects a peer for a repair without a known difference, mostly of the local region.
func (e *Engine) selectRepairPartner(now time.Time) (Peer, bool) {
	remote := e.choosesRemote()
	var fitting, others []Peer
	e.ranking.update(now, e.options, e.peers)
	for _, peer := range e.ranking.ranked {
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
	return fitting[e.options.Random.IntN(min(len(fitting), partnerCandidates))], true
}

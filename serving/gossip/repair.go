package gossip

import "time"

// Times of the anti-entropy repair.
const (
	// settleDelay is how long a difference must last, without a local change, before digests are compared. It gives
	// entries that are still in transit time to arrive.
	settleDelay = 100 * time.Millisecond
	// repairInterval is the minimum time between two repairs.
	repairInterval = 300 * time.Millisecond
	// maxSettleDelay is how long differences may last before digests are compared even though local changes continue.
	maxSettleDelay = 300 * time.Millisecond
	// idleRepairInterval is the time between two repairs while no difference is known. Such a repair compares all
	// tables.
	idleRepairInterval = 5 * time.Second
	// remoteRepairTarget is the expected number of members of a region that repair a difference with another region,
	// see shouldRepairRemotely.
	remoteRepairTarget = 2.0
)

// pendingRepair is the known difference that the next repair is for, and the time of the last repair.
type pendingRepair struct {
	lastRepair  time.Time
	partner     string    // a member with differing checksums; empty: none
	tables      []TableID // those that differ
	firstSeen   time.Time // when the first difference since the last repair was seen
	lastSeen    time.Time // when the partner's difference was recorded
	changeCount uint64    // Engine.changeCount at lastSeen
}

// RepairTask is a repair for the caller to carry out: a comparison of digests with a peer.
type RepairTask struct {
	Peer   Peer
	Tables []TableID // empty: all
}

// RecordSummary compares another member's summary with the local one, records the difference, and returns the tables
// that differ.
func (e *Engine) RecordSummary(now time.Time, name string, theirs Summary) (differing []TableID) {
	differing = e.DifferingTables(theirs)
	e.RecordDifference(now, name, differing)
	return differing
}

// RecordDifference records which tables differ from those of another member. If none does, it drops a recorded
// difference with that member. It ignores a difference with another region unless shouldRepairRemotely selects it. It
// keeps the recorded difference if that still applies and the new one is with the local region.
func (e *Engine) RecordDifference(now time.Time, name string, tables []TableID) {
	peer, known := e.peersByName[name]
	if !known {
		return
	}
	if len(tables) == 0 {
		if e.nextRepair.partner == name {
			e.nextRepair = pendingRepair{lastRepair: e.nextRepair.lastRepair}
		}
		return
	}
	if peer.Region != e.options.Region && !e.shouldRepairRemotely() {
		return
	}
	first := e.nextRepair.firstSeen
	if first.IsZero() {
		first = now
	}
	if e.nextRepair.partner != "" && e.nextRepair.changeCount == e.changeCount && peer.Region == e.options.Region {
		return // the recorded difference still applies
	}
	e.nextRepair = pendingRepair{
		lastRepair:  e.nextRepair.lastRepair,
		partner:     name,
		tables:      tables,
		firstSeen:   first,
		lastSeen:    now,
		changeCount: e.changeCount,
	}
}

// shouldRepairRemotely decides at random whether the local member repairs with another region. The probability is such
// that about remoteRepairTarget members of the local region do.
func (e *Engine) shouldRepairRemotely() bool {
	return e.options.Random.Float64()*float64(e.regionPeerCount+1) < remoteRepairTarget
}

// NextRepairTime returns when the repair of a known difference is due, or the zero time if no difference is known.
func (e *Engine) NextRepairTime() time.Time {
	if e.nextRepair.partner == "" {
		return time.Time{}
	}
	due := e.nextRepair.firstSeen.Add(maxSettleDelay)
	if settled := e.nextRepair.lastSeen.Add(settleDelay); e.nextRepair.changeCount == e.changeCount &&
		settled.Before(due) {
		due = settled
	}
	if earliest := e.nextRepair.lastRepair.Add(repairInterval); due.Before(earliest) {
		due = earliest
	}
	return due
}

// TakeDueRepair returns the repair that is due, which the caller then carries out. It returns false if none is due or
// no partner is available.
func (e *Engine) TakeDueRepair(now time.Time) (RepairTask, bool) {
	recorded := e.nextRepair
	due := e.NextRepairTime()
	if !due.IsZero() && !now.Before(due) {
		e.nextRepair = pendingRepair{lastRepair: now}
		if peer, known := e.peersByName[recorded.partner]; known {
			return RepairTask{Peer: peer, Tables: recorded.tables}, true
		}
	}
	if now.Sub(e.nextRepair.lastRepair) < idleRepairInterval {
		return RepairTask{}, false
	}
	e.nextRepair = pendingRepair{lastRepair: now}
	peer, found := e.selectRepairPartner(now)
	return RepairTask{Peer: peer}, found
}

// partnerCandidates is the number of ranked peers from which selectRepairPartner selects one.
const partnerCandidates = 8

// selectRepairPartner selects a peer for a repair without a known difference, usually from the local region.
func (e *Engine) selectRepairPartner(now time.Time) (Peer, bool) {
	remote := e.shouldRepairRemotely()
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

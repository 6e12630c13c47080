package rebalance

import (
	"cmp"
	"maps"
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/rebalance/planfile"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

// ImpactMeter counts the outcomes of webhooks at one member by destination, and measures the impact of a move by the
// outcomes in its range since the count of the impact began: when the meter first saw the move, or when another plan
// requested it. It has no clock: its callers pass the time. It is not safe for concurrent use.
type ImpactMeter struct {
	incarnation  uint64     // of the process
	windowLength api.Micros // a baseline covers the last one to two windows
	windowEnd    api.Micros
	destinations map[api.DestinationID]*destinationCount
	moves        map[shardmap.MoveID]*moveRecord
	hasGroups    bool // whether the map has, or had, groups of destinations that share a hash
}

// destinationCount holds the outcomes of one destination, counted from the start of the process: the current counts,
// and those when the current window and the one before it began.
type destinationCount struct {
	hash                                      cluster.KeyHash
	current, windowStart, previousWindowStart Outcomes
}

// moveRecord is a monitored move, with the state when its impact began to be counted.
type moveRecord struct {
	MonitoredMove
	planNumber uint64                         // number of the last plan that requested the impact; 0: none yet
	counts     map[api.DestinationID]Outcomes // outcomes when the count of the impact began
	baseline   Outcomes
	unhealthy  []api.DestinationID // unhealthy destinations when the count of the impact began
	lastSeen   api.Micros          // when the move was last seen open or requested
}

// MonitoredMove is a move whose impact on its range a coordinator requests.
type MonitoredMove struct {
	Move  shardmap.MoveID `cbor:"1,keyasint"`
	Range cluster.RangeID `cbor:"2,keyasint"`
	From  cluster.KeyHash `cbor:"3,keyasint"` // bounds of the range, inclusive
	To    cluster.KeyHash `cbor:"4,keyasint"`
}

// RangeImpact is the impact of a move on its range as one member measured it: the outcomes since the count of the
// impact began, and the baseline before the move.
type RangeImpact struct {
	Move            shardmap.MoveID     `cbor:"1,keyasint"`
	Range           cluster.RangeID     `cbor:"2,keyasint"`
	During          Outcomes            `cbor:"3,keyasint"`
	Baseline        Outcomes            `cbor:"4,keyasint"`
	Unhealthy       []api.DestinationID `cbor:"5,keyasint,omitempty"`
	UnhealthyBefore []api.DestinationID `cbor:"6,keyasint,omitempty"` // when the count of the impact began
}

// Report is a member's reply to a coordinator that requests the impact of moves.
type Report struct {
	Incarnation uint64        `cbor:"1,keyasint"`
	Ranges      []RangeImpact `cbor:"2,keyasint,omitempty"`
}

const (
	// baselineTTLs is the length of a window in lease TTLs, so that a baseline reaches back eight to sixteen TTLs. That
	// is long compared to a move, so that a few webhooks a second are enough for a baseline, and short compared to the
	// changes of load in a day. A move that is neither open nor requested is forgotten after the same time.
	baselineTTLs = 8

	// maxMonitoredMoves bounds the moves that a coordinator requests. If there are more, it requests the newest.
	maxMonitoredMoves = 64
)

// NewImpactMeter returns a meter that has counted nothing. incarnation is a random number that identifies this run of
// the process.
func NewImpactMeter(incarnation uint64, leaseTTL, now api.Micros) *ImpactMeter {
	window := baselineTTLs * leaseTTL
	return &ImpactMeter{
		incarnation:  incarnation,
		windowLength: window,
		windowEnd:    now + window,
		destinations: map[api.DestinationID]*destinationCount{},
		moves:        map[shardmap.MoveID]*moveRecord{},
	}
}

// CountOutcomes adds outcomes of a destination's webhooks.
func (i *ImpactMeter) CountOutcomes(d api.DestinationID, o Outcomes) {
	c := i.destinations[d]
	if c == nil {
		c = &destinationCount{hash: cluster.DestinationKeyHash(d)}
		i.destinations[d] = c
	}
	c.current = c.current.add(o)
}

// UnhealthyFunc returns the destinations of a range that are unhealthy now. It returns only what this member knows
// if it owns the range.
type UnhealthyFunc func(r shardmap.Range) []api.DestinationID

// UnobservedMoves returns the ranges of open moves that are not monitored yet.
func (i *ImpactMeter) UnobservedMoves(m *shardmap.Map) (ranges []shardmap.Range) {
	for _, r := range m.Ranges {
		if r.Move.IsOpen() && i.moves[r.Move.ID] == nil {
			ranges = append(ranges, r)
		}
	}
	return ranges
}

// ObserveMap starts to monitor the moves that have begun. It forgets moves that ended and that no coordinator has
// requested for the length of a window.
func (i *ImpactMeter) ObserveMap(m *shardmap.Map, unhealthy UnhealthyFunc, now api.Micros) {
	i.advanceWindow(now)
	i.updateHashes(m)
	for _, r := range m.Ranges {
		if r.Move.IsOpen() {
			i.monitor(MonitoredMove{Move: r.Move.ID, Range: r.ID, From: r.From, To: r.To}, r, unhealthy, now)
		}
	}
	maps.DeleteFunc(i.moves, func(_ shardmap.MoveID, move *moveRecord) bool {
		return now-move.lastSeen > i.windowLength
	})
}

// advanceWindow starts a new window if the current one is over.
func (i *ImpactMeter) advanceWindow(now api.Micros) {
	if now < i.windowEnd {
		return
	}
	i.windowEnd = now + i.windowLength
	for _, c := range i.destinations {
		c.previousWindowStart, c.windowStart = c.windowStart, c.current
	}
}

// updateHashes sets the hashes of destinations by the map. This is only needed once the map has had groups of
// destinations that share a hash.
func (i *ImpactMeter) updateHashes(m *shardmap.Map) {
	i.hasGroups = i.hasGroups || len(m.Groups) > 0
	if !i.hasGroups {
		return
	}
	for d, c := range i.destinations {
		c.hash = m.KeyOf(d)
	}
}

// monitor returns the record of a move. If the move is new, its impact counts from now on, and its baseline is the
// outcomes in its range since the window before the current one began.
func (i *ImpactMeter) monitor(monitored MonitoredMove, r shardmap.Range, unhealthy UnhealthyFunc,
	now api.Micros) *moveRecord {
	move := i.moves[monitored.Move]
	if move == nil {
		move = &moveRecord{MonitoredMove: monitored}
		i.moves[monitored.Move] = move
		for _, c := range i.destinations {
			if move.contains(c) {
				move.baseline = move.baseline.add(c.current.since(c.previousWindowStart))
			}
		}
		i.restart(move, r, unhealthy)
	}
	move.lastSeen = now
	return move
}

// restart makes a move's impact count from now on.
func (i *ImpactMeter) restart(move *moveRecord, r shardmap.Range, unhealthy UnhealthyFunc) {
	move.counts, move.unhealthy = map[api.DestinationID]Outcomes{}, unhealthy(r)
	for d, c := range i.destinations {
		if move.contains(c) {
			move.counts[d] = c.current
		}
	}
}

func (m *MonitoredMove) contains(c *destinationCount) bool { return m.From <= c.hash && c.hash <= m.To }

// Report returns the impact of moves to the coordinator that runs the plan with the given number. When another plan
// requests a move, the count of its impact restarts, so that the new plan isn't stopped for the impact of an earlier
// one; the baseline stays.
func (i *ImpactMeter) Report(number uint64, moves []MonitoredMove, m *shardmap.Map, unhealthy UnhealthyFunc,
	now api.Micros) Report {
	report := Report{Incarnation: i.incarnation}
	for _, monitored := range moves[:min(len(moves), maxMonitoredMoves)] { // a request may hold any number of moves
		r, _ := m.RangeByID(monitored.Range)
		move := i.monitor(monitored, r, unhealthy, now)
		if move.planNumber != number && move.planNumber != 0 {
			i.restart(move, r, unhealthy)
		}
		move.planNumber = number
		if impact := i.rangeImpact(move, unhealthy(r)); !impact.isEmpty() {
			report.Ranges = append(report.Ranges, impact)
		}
	}
	return report
}

// rangeImpact returns the impact of a move so far, with the destinations in its range that are unhealthy now.
func (i *ImpactMeter) rangeImpact(move *moveRecord, unhealthy []api.DestinationID) RangeImpact {
	impact := RangeImpact{
		Move:            move.Move,
		Range:           move.Range,
		Baseline:        move.baseline,
		Unhealthy:       unhealthy,
		UnhealthyBefore: move.unhealthy,
	}
	for d, c := range i.destinations {
		if move.contains(c) {
			impact.During = impact.During.add(c.current.since(move.counts[d]))
		}
	}
	return impact
}

func (i RangeImpact) isEmpty() bool {
	return i.During == (Outcomes{}) && i.Baseline == (Outcomes{}) && len(i.Unhealthy)+len(i.UnhealthyBefore) == 0
}

// MonitoredMoves returns the moves whose impact may stop the running plan, newest first: all moves that it has begun,
// including those that are done, since the impact of a move may show only after its end. There are none once the
// plan is stopped or done, or if its file has no stop conditions.
func (p *Progress) MonitoredMoves(f *planfile.File, m *shardmap.Map) (moves []MonitoredMove) {
	isDone := p.DoneSteps() == len(p.Steps)
	if isDone || p.StopReason != "" || f.StopConditions.Line == 0 {
		return nil
	}
	for k, s := range p.Steps {
		if s.Move == 0 || s.Kind == StepRollBack || p.States[k] == Pending {
			continue
		}
		if r, ok := m.RangeByID(s.Range); ok {
			moves = append(moves, MonitoredMove{Move: s.Move, Range: r.ID, From: r.From, To: r.To})
		}
	}
	slices.SortStableFunc(moves, func(a, b MonitoredMove) int { return cmp.Compare(b.Move, a.Move) })
	return moves[:min(len(moves), maxMonitoredMoves)]
}

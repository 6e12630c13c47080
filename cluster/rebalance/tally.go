package rebalance

import (
	"maps"
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

// ImpactMeter is what one member counts of how webhooks ended, by destination, and which moves it saw begin. It
// has no clock: whoever calls it says the time. It belongs to one goroutine at a time.
type ImpactMeter struct {
	life    uint64     // tells one start of the process from another
	every   api.Micros // what is usual reaches back once to twice so far
	turnsAt api.Micros
	dests   map[api.DestinationID]*count
	moves   map[shardmap.MoveID]*watched
	placed  bool // some destinations stood together, now or before
}

// count is of one destination since the start, now and when what is usual began to count anew.
type count struct {
	hash          cluster.KeyHash
	all, mid, old Outcomes
}

// watched is a move that was seen to begin.
type watched struct {
	MonitoredMove
	number uint64 // of the plan that asked; 0: none yet
	base   map[api.DestinationID]Outcomes
	usual  Outcomes
	sick   []api.DestinationID // when it began
	seenAt api.Micros          // asked for, or open
}

// MonitoredMove is a move whose harm is asked for: of its range, from when it began.
type MonitoredMove struct {
	Move  shardmap.MoveID `cbor:"1,keyasint"`
	Range cluster.RangeID `cbor:"2,keyasint"`
	From  cluster.KeyHash `cbor:"3,keyasint"`
	To    cluster.KeyHash `cbor:"4,keyasint"`
}

// RangeImpact is what one member saw in the range of a move, since it began and before.
type RangeImpact struct {
	Move            shardmap.MoveID     `cbor:"1,keyasint"`
	Range           cluster.RangeID     `cbor:"2,keyasint"`
	During          Outcomes            `cbor:"3,keyasint"`
	Baseline        Outcomes            `cbor:"4,keyasint"`
	Unhealthy       []api.DestinationID `cbor:"5,keyasint,omitempty"`
	UnhealthyBefore []api.DestinationID `cbor:"6,keyasint,omitempty"` // sick when it began
}

// Report is what a member answers to a conductor.
type Report struct {
	Incarnation uint64        `cbor:"1,keyasint"`
	Ranges      []RangeImpact `cbor:"2,keyasint,omitempty"`
}

// What is usual reaches back eight to sixteen terms: long beside a move, so that a few webhooks a second are
// enough to tell, and short beside a day's course. A move that nobody asks for is forgotten as late.
const usualTerms = 8

// NewImpactMeter is one that has counted nothing; life is drawn at each start of the process.
func NewImpactMeter(life uint64, term, now api.Micros) *ImpactMeter {
	return &ImpactMeter{life: life, every: usualTerms * term, turnsAt: now + usualTerms*term,
		dests: map[api.DestinationID]*count{}, moves: map[shardmap.MoveID]*watched{}}
}

// CountOutcomes counts ends of a destination's webhooks.
func (t *ImpactMeter) CountOutcomes(d api.DestinationID, e Outcomes) {
	c := t.dests[d]
	if c == nil {
		c = &count{hash: cluster.Hash(d)}
		t.dests[d] = c
	}
	c.all = c.all.plus(e)
}

// UnhealthyFunc tells which destinations of a range this member, its home, holds to be sick now.
type UnhealthyFunc func(r shardmap.Range) []api.DestinationID

// UnobservedMoves are the ranges of moves that Look has yet to take note of.
func (t *ImpactMeter) UnobservedMoves(m *shardmap.Map) (all []shardmap.Range) {
	for _, r := range m.Ranges {
		if r.Move.IsOpen() && t.moves[r.Move.ID] == nil {
			all = append(all, r)
		}
	}
	return all
}

// ObserveMap takes note of moves that have begun and forgets those that are over and asked for by nobody.
func (t *ImpactMeter) ObserveMap(m *shardmap.Map, sick UnhealthyFunc, now api.Micros) {
	if now >= t.turnsAt {
		t.turnsAt = now + t.every
		for _, c := range t.dests {
			c.old, c.mid = c.mid, c.all
		}
	}
	if t.placed = t.placed || len(m.Groups) > 0; t.placed {
		for d, c := range t.dests {
			c.hash = m.KeyOf(d)
		}
	}
	for _, r := range m.Ranges {
		if r.Move.IsOpen() {
			t.watch(MonitoredMove{r.Move.ID, r.ID, r.From, r.To}, r, sick, now)
		}
	}
	maps.DeleteFunc(t.moves, func(_ shardmap.MoveID, w *watched) bool { return now-w.seenAt > t.every })
}

func (t *ImpactMeter) watch(what MonitoredMove, r shardmap.Range, sick UnhealthyFunc, now api.Micros) *watched {
	w := t.moves[what.Move]
	if w == nil {
		w = &watched{MonitoredMove: what}
		t.moves[what.Move] = w
		for _, c := range t.dests {
			if w.has(c) {
				w.usual = w.usual.plus(c.all.less(c.old))
			}
		}
		t.begin(w, r, sick)
	}
	w.seenAt = now
	return w
}

// begin counts from now on.
func (t *ImpactMeter) begin(w *watched, r shardmap.Range, sick UnhealthyFunc) {
	w.base, w.sick = map[api.DestinationID]Outcomes{}, sick(r)
	for d, c := range t.dests {
		if w.has(c) {
			w.base[d] = c.all
		}
	}
}

func (w *watched) has(c *count) bool { return w.From <= c.hash && c.hash <= w.To }

// Report answers a conductor whose plan has a number. Another plan's count begins anew, as what an earlier one
// did is not its harm; what was usual before the move stays so.
func (t *ImpactMeter) Report(number uint64, of []MonitoredMove, m *shardmap.Map, sick UnhealthyFunc, now api.Micros) Report {
	out := Report{Incarnation: t.life}
	for _, what := range of[:min(len(of), mostWatched)] { // whatever a message says
		r, _ := m.RangeByID(what.Range)
		w := t.watch(what, r, sick, now)
		if w.number != number && w.number != 0 {
			t.begin(w, r, sick)
		}
		w.number = number
		s := RangeImpact{Move: w.Move, Range: w.Range, Baseline: w.usual, Unhealthy: sick(r), UnhealthyBefore: w.sick}
		for d, c := range t.dests {
			if w.has(c) {
				s.During = s.During.plus(c.all.less(w.base[d]))
			}
		}
		if s.During != (Outcomes{}) || s.Baseline != (Outcomes{}) || len(s.Unhealthy)+len(s.UnhealthyBefore) > 0 {
			out.Ranges = append(out.Ranges, s)
		}
	}
	return out
}

// mostWatched bounds the moves that are asked for: those that began last.
const mostWatched = 64

// MonitoredMoves are the moves whose harm counts for the running plan: those that it has begun, also when they are
// through, as what a move does shows after it. None once it is stopped or through, or where its file stops
// for nothing: then nobody is asked.
func (p *Progress) MonitoredMoves(f *File, m *shardmap.Map) (all []MonitoredMove) {
	open := false
	for k, s := range p.Steps {
		if open = open || p.States[k] != Done; s.Move == 0 || s.Kind == StepRollBack || p.States[k] == Pending {
			continue
		}
		if r, ok := m.RangeByID(s.Range); ok {
			all = append(all, MonitoredMove{s.Move, r.ID, r.From, r.To})
		}
	}
	if !open || p.StopReason != "" || f.StopConditions.Line == 0 {
		return nil
	}
	slices.SortStableFunc(all, func(a, b MonitoredMove) int { return int(int64(b.Move) - int64(a.Move)) })
	return all[:min(len(all), mostWatched)]
}

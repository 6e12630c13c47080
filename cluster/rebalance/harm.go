package rebalance

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

// Outcomes counts how webhooks ended. Rejected are those that were not taken on, or were handed back by notice.
type Outcomes struct {
	Total        uint64 `cbor:"1,keyasint,omitempty"`
	Rejected     uint64 `cbor:"2,keyasint,omitempty"`
	DeadLettered uint64 `cbor:"3,keyasint,omitempty"`
	Late         uint64 `cbor:"4,keyasint,omitempty"`
}

func (e Outcomes) plus(o Outcomes) Outcomes {
	return Outcomes{e.Total + o.Total, e.Rejected + o.Rejected, e.DeadLettered + o.DeadLettered, e.Late + o.Late}
}

// less is what came on top of an earlier count.
func (e Outcomes) less(o Outcomes) Outcomes {
	return Outcomes{e.Total - o.Total, e.Rejected - o.Rejected, e.DeadLettered - o.DeadLettered, e.Late - o.Late}
}

// Impact is what was measured in the ranges that the plan moves: since their moves began and what was usual
// there before.
type Impact struct {
	During, Baseline Outcomes
	Unhealthy        []UnhealthyDestination // that were well before their move
	Ranges           []RangeImpact          // the same range by range
}

// UnhealthyDestination is a destination that is, and the range that it lies in.
type UnhealthyDestination struct {
	Destination api.DestinationID
	Range       cluster.RangeID
}

// ImpactCollector is what members told of one plan. What was told last by a member stays when it tells nothing more:
// guards against harm forgotten because the one that saw it was killed.
type ImpactCollector struct {
	number uint64
	spots  map[teller]map[shardmap.MoveID]RangeImpact
}

type teller struct {
	member cluster.MemberID
	life   uint64
}

// AddReport takes a member's report for the plan of a number; another plan's begins anew.
func (g *ImpactCollector) AddReport(number uint64, from cluster.MemberID, r Report) {
	if g.number != number || g.spots == nil {
		g.number, g.spots = number, map[teller]map[shardmap.MoveID]RangeImpact{}
	}
	at := teller{from, r.Incarnation}
	if g.spots[at] == nil {
		g.spots[at] = map[shardmap.MoveID]RangeImpact{}
	}
	for _, s := range r.Ranges {
		g.spots[at][s.Move] = s
	}
}

// Impact adds up what was told for the plan of a number.
func (g *ImpactCollector) Impact(number uint64) (h Impact) {
	if g.number != number {
		return h
	}
	moves, were := map[shardmap.MoveID]RangeImpact{}, map[api.DestinationID]bool{}
	for _, told := range g.spots {
		for id, s := range told {
			sum := moves[id]
			sum.Move, sum.Range = id, s.Range
			sum.During, sum.Baseline = sum.During.plus(s.During), sum.Baseline.plus(s.Baseline)
			sum.Unhealthy = append(slices.Clone(sum.Unhealthy), s.Unhealthy...)
			moves[id] = sum
			for _, d := range s.UnhealthyBefore {
				were[d] = true
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(moves)) {
		s := moves[id]
		slices.Sort(s.Unhealthy)
		s.Unhealthy = slices.DeleteFunc(slices.Compact(s.Unhealthy), func(d api.DestinationID) bool { return were[d] })
		for _, d := range s.Unhealthy {
			h.Unhealthy = append(h.Unhealthy, UnhealthyDestination{d, s.Range})
		}
		h.During, h.Baseline, h.Ranges = h.During.plus(s.During), h.Baseline.plus(s.Baseline), append(h.Ranges, s)
	}
	return h
}

// measures are the shares that may stop a plan, as StopConditions has them.
var measures = [...]struct {
	name string
	of   func(Outcomes) uint64
}{
	{"rejected", func(e Outcomes) uint64 { return e.Rejected }},
	{"dead-lettered", func(e Outcomes) uint64 { return e.DeadLettered }},
	{"late", func(e Outcomes) uint64 { return e.Late }},
}

// harm says which share is over what the file allows beyond what is usual, and where most of it was. A share
// is taken from so many webhooks on that one of them alone is within the limit: one rejected of three says
// nothing of 2 in a hundred.
func (s StopConditions) harm(h Impact) string {
	for k, limit := range [...]float64{s.Rejected, s.DeadLettered, s.Late} {
		if limit < 0 || h.During.Total == 0 || limit > 0 && float64(h.During.Total)*limit < 1 {
			continue
		}
		of := measures[k].of
		share, was := float64(of(h.During))/float64(h.During.Total), float64(of(h.Baseline))/float64(max(1, h.Baseline.Total))
		if share-was <= limit {
			continue
		}
		where := "the ranges that move"
		if len(h.Ranges) > 0 {
			most := slices.MaxFunc(h.Ranges, func(a, b RangeImpact) int { return cmp.Compare(of(a.During), of(b.During)) })
			where = fmt.Sprintf("%s, most in range %d (%d of %d)", where, most.Range, of(most.During), most.During.Total)
		}
		return fmt.Sprintf("%.4g of webhooks %s in %s, %.4g before; line %d stops at %g more", share,
			measures[k].name, where, was, s.Line, limit)
	}
	if s.Unhealthy && len(h.Unhealthy) > 0 {
		return fmt.Sprintf("destination %d went sick in range %d, which moves; line %d stops at that",
			h.Unhealthy[0].Destination, h.Unhealthy[0].Range, s.Line)
	}
	return ""
}

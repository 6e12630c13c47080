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

// Ends counts how webhooks ended. Rejected are those that were not taken on, or were handed back by notice.
type Ends struct {
	Ended        uint64 `cbor:"1,keyasint,omitempty"`
	Rejected     uint64 `cbor:"2,keyasint,omitempty"`
	DeadLettered uint64 `cbor:"3,keyasint,omitempty"`
	Late         uint64 `cbor:"4,keyasint,omitempty"`
}

func (e Ends) plus(o Ends) Ends {
	return Ends{e.Ended + o.Ended, e.Rejected + o.Rejected, e.DeadLettered + o.DeadLettered, e.Late + o.Late}
}

// less is what came on top of an earlier count.
func (e Ends) less(o Ends) Ends {
	return Ends{e.Ended - o.Ended, e.Rejected - o.Rejected, e.DeadLettered - o.DeadLettered, e.Late - o.Late}
}

// Harm is what was measured in the ranges that the plan moves: since their moves began and what was usual
// there before.
type Harm struct {
	Now, Usual Ends
	Sick       []Sick // that were well before their move
	Spots      []Spot // the same range by range
}

// Sick is a destination that is, and the range that it lies in.
type Sick struct {
	Dest  api.DestinationID
	Range cluster.RangeID
}

// Gathered is what members told of one plan. What was told last by a member stays when it tells nothing more:
// guards against harm forgotten because the one that saw it was killed.
type Gathered struct {
	number uint64
	spots  map[teller]map[shardmap.MoveID]Spot
}

type teller struct {
	member cluster.MemberID
	life   uint64
}

// Take takes a member's report for the plan of a number; another plan's begins anew.
func (g *Gathered) Take(number uint64, from cluster.MemberID, r Report) {
	if g.number != number || g.spots == nil {
		g.number, g.spots = number, map[teller]map[shardmap.MoveID]Spot{}
	}
	at := teller{from, r.Life}
	if g.spots[at] == nil {
		g.spots[at] = map[shardmap.MoveID]Spot{}
	}
	for _, s := range r.Spots {
		g.spots[at][s.Move] = s
	}
}

// Harm adds up what was told for the plan of a number.
func (g *Gathered) Harm(number uint64) (h Harm) {
	if g.number != number {
		return h
	}
	moves, were := map[shardmap.MoveID]Spot{}, map[api.DestinationID]bool{}
	for _, told := range g.spots {
		for id, s := range told {
			sum := moves[id]
			sum.Move, sum.Range = id, s.Range
			sum.Now, sum.Usual = sum.Now.plus(s.Now), sum.Usual.plus(s.Usual)
			sum.Sick = append(slices.Clone(sum.Sick), s.Sick...)
			moves[id] = sum
			for _, d := range s.Were {
				were[d] = true
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(moves)) {
		s := moves[id]
		slices.Sort(s.Sick)
		s.Sick = slices.DeleteFunc(slices.Compact(s.Sick), func(d api.DestinationID) bool { return were[d] })
		for _, d := range s.Sick {
			h.Sick = append(h.Sick, Sick{d, s.Range})
		}
		h.Now, h.Usual, h.Spots = h.Now.plus(s.Now), h.Usual.plus(s.Usual), append(h.Spots, s)
	}
	return h
}

// measures are the shares that may stop a plan, as StopWhen has them.
var measures = [...]struct {
	name string
	of   func(Ends) uint64
}{
	{"rejected", func(e Ends) uint64 { return e.Rejected }},
	{"dead-lettered", func(e Ends) uint64 { return e.DeadLettered }},
	{"late", func(e Ends) uint64 { return e.Late }},
}

// harm says which share is over what the file allows beyond what is usual, and where most of it was. A share
// is taken from so many webhooks on that one of them alone is within the limit: one rejected of three says
// nothing of 2 in a hundred.
func (s StopWhen) harm(h Harm) string {
	for k, limit := range [...]float64{s.Rejected, s.DeadLettered, s.Late} {
		if limit < 0 || h.Now.Ended == 0 || limit > 0 && float64(h.Now.Ended)*limit < 1 {
			continue
		}
		of := measures[k].of
		share, was := float64(of(h.Now))/float64(h.Now.Ended), float64(of(h.Usual))/float64(max(1, h.Usual.Ended))
		if share-was <= limit {
			continue
		}
		where := "the ranges that move"
		if len(h.Spots) > 0 {
			most := slices.MaxFunc(h.Spots, func(a, b Spot) int { return cmp.Compare(of(a.Now), of(b.Now)) })
			where = fmt.Sprintf("%s, most in range %d (%d of %d)", where, most.Range, of(most.Now), most.Now.Ended)
		}
		return fmt.Sprintf("%.4g of webhooks %s in %s, %.4g before; line %d stops at %g more", share,
			measures[k].name, where, was, s.Line, limit)
	}
	if s.Sick && len(h.Sick) > 0 {
		return fmt.Sprintf("destination %d went sick in range %d, which moves; line %d stops at that",
			h.Sick[0].Dest, h.Sick[0].Range, s.Line)
	}
	return ""
}

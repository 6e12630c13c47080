package rebalance

import (
	"fmt"
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

// A destination that rules place by its name is split off the range that it lies in: a range of its one hash,
// between what is left below and above it. What is split off is a piece of the range still, by the map: what
// has the range's beginning stands for it, in a member's part and room; pieces count nothing there, and go
// where that goes unless a rule is about them.

// heads is, by range, the one that it is a piece of; itself where it is none.
func heads(all []shardmap.Range) []int {
	head := make([]int, len(all))
	for i := range all {
		if head[i] = i; i > 0 && all[i].SplitOff {
			head[i] = head[i-1]
		}
	}
	return head
}

// oneHash is whether a range is one hash.
func oneHash(r shardmap.Range) bool { return r.From == r.To }

// rangeSplit is a split that a plan needs: what lies from At on becomes range New.
type rangeSplit struct {
	Range, New cluster.RangeID
	At         cluster.KeyHash
}

// RangeMovingError is why no plan can be made yet: a range that has to be split is on its way.
type RangeMovingError struct {
	Range cluster.RangeID
	Move  shardmap.Move
}

func (m *RangeMovingError) Error() string {
	return fmt.Sprintf("range %d has to be split and moves to %q: first that has to end", m.Range, m.Move.To)
}

// named lists the hashes of destinations under pin, apart and alone, each once. What is kept in a zone goes
// there with its range.
func (f *File) named(m *shardmap.Map) (all []cluster.KeyHash) {
	for _, r := range f.Rules {
		if r.Kind != ZoneAffinity {
			for _, d := range r.Selector.Destinations {
				all = append(all, m.KeyOf(d))
			}
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// cuts are the splits that a file needs of a map, in the order in which they are made, and the map after
// them.
func (f *File) cuts(m *shardmap.Map) (all []rangeSplit, after *shardmap.Map, err error) {
	in := map[cluster.RangeID][]cluster.KeyHash{}
	for _, h := range f.named(m) {
		if r, ok := m.RangeOf(h); ok {
			in[r.ID] = append(in[r.ID], h)
		}
	}
	whole := *m
	whole.Ranges, after = nil, &whole
	for _, r := range m.Ranges {
		parts := []shardmap.Range{r}
		for _, h := range slices.Backward(in[r.ID]) { // the lowest part keeps its id and its grant
			for _, at := range []cluster.KeyHash{h + 1, h} {
				low := &parts[0]
				if at <= low.From || at > low.To {
					continue // it lies at an end, or is a range of its own
				}
				if r.Move.IsOpen() {
					return nil, nil, &RangeMovingError{r.ID, r.Move}
				}
				all = append(all, rangeSplit{r.ID, after.NextID, at})
				upper := shardmap.Range{ID: after.NextID, From: at, To: low.To, Owner: r.Owner, Epoch: r.Epoch,
					Status: r.Status, SplitOff: true}
				low.To, after.NextID = at-1, after.NextID+1
				parts = slices.Insert(parts, 1, upper)
			}
		}
		after.Ranges = append(after.Ranges, parts...)
	}
	if len(after.Ranges) > mostRanges {
		return nil, nil, f.at(1, "%d ranges, once destinations are split off; there may be %d", len(after.Ranges),
			mostRanges)
	}
	return all, after, nil
}

// shared tells the keys of ranges after cuts: each part has as many of what its range had as it is wide.
func shared(keys func(cluster.RangeID) uint64, before, after *shardmap.Map,
	cuts []rangeSplit) func(cluster.RangeID) uint64 {
	if keys == nil || len(cuts) == 0 {
		return keys
	}
	parts := map[cluster.RangeID]uint64{}
	for _, c := range cuts {
		whole, _ := before.RangeByID(c.Range)
		for _, id := range []cluster.RangeID{c.Range, c.New} {
			r, _ := after.RangeByID(id)
			width := float64(r.To-r.From) + 1
			parts[id] = uint64(float64(keys(c.Range)) * (width / (float64(whole.To-whole.From) + 1)))
			if oneHash(r) {
				parts[id] = max(1, parts[id])
			}
		}
	}
	return func(id cluster.RangeID) uint64 {
		if n, ok := parts[id]; ok {
			return n
		}
		return keys(id)
	}
}

// follow finds the pieces that no rule is about by themselves: they go where their range goes.
func (t *task) follow() {
	same := func(a, b *Rule) bool {
		return (a == nil) == (b == nil) && (a == nil || a.Member == b.Member && a.Zone == b.Zone)
	}
	t.follows = make([]bool, len(t.ranges))
	for i, h := range t.head {
		a, of := t.asked[i], t.asked[h]
		t.follows[i] = h != i && (len(a.rules) == 0 ||
			len(a.apart) == 0 && same(a.pin, of.pin) && same(a.keep, of.keep) && !t.byName(i))
	}
}

// byName is whether a rule names a destination of a range of one hash.
func (t *task) byName(i int) bool {
	return oneHash(t.ranges[i]) && slices.ContainsFunc(t.asked[i].rules, func(k int) bool {
		r := &t.file.Rules[k]
		return r.Kind != ZoneAffinity && slices.ContainsFunc(r.Selector.Destinations, func(d api.DestinationID) bool {
			return t.key(d) == t.ranges[i].From
		})
	})
}

// whole is whether a range counts in its member's part and room.
func (t *task) whole(i int) bool { return t.head[i] == i }

// reshaped puts the cuts before a plan's steps and the joins behind them: pieces that lie side by side and
// that nothing holds apart any more.
func (t *task) reshaped(steps []Step, cuts []rangeSplit, to []int) []Step {
	var out []Step
	last := map[cluster.RangeID]int{} // by range: the last step that is about it
	for k, c := range cuts {
		s := Step{Range: c.Range, Kind: StepSplit, SplitKey: c.At, OtherRange: c.New}
		if r, ok := t.rangeAt[c.Range]; ok {
			s.From, s.To = t.ranges[r].Owner, t.ranges[r].Owner
		}
		if k > 0 { // the ids of what is split off are given in this order
			s.DependsOn = []Dependency{{k - 1, RangeBoundary}}
		}
		out = append(out, s)
		last[c.Range], last[c.New] = k, k
	}
	for _, s := range steps {
		for n := range s.DependsOn {
			s.DependsOn[n].Step += len(cuts)
		}
		if k, ok := last[s.Range]; ok && k < len(cuts) {
			s.DependsOn = append(s.DependsOn, Dependency{k, RangeBoundary})
		}
		out = append(out, s)
	}
	for k, s := range out {
		if last[s.Range] = k; s.Kind == StepSplit {
			last[s.OtherRange] = k
		}
	}
	run := 0 // where the pieces that are joined begin
	for i := 1; i < len(t.ranges); i++ {
		joins := t.head[i] == t.head[run] && (run == t.head[i] || t.follows[run]) && t.follows[i] &&
			to[i] == to[run]
		if !joins {
			run = i
			continue
		}
		a, b := t.ranges[run], t.ranges[i]
		s := Step{Range: a.ID, From: t.members[to[i]].ID, To: t.members[to[i]].ID, Kind: StepMerge, OtherRange: b.ID}
		for _, id := range []cluster.RangeID{a.ID, b.ID} {
			if k, ok := last[id]; ok {
				s.DependsOn = append(s.DependsOn, Dependency{k, RangeBoundary})
			}
		}
		out = append(out, s)
		last[a.ID] = len(out) - 1
	}
	return out
}

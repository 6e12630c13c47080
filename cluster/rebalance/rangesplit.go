package rebalance

import (
	"fmt"
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/rebalance/planfile"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

// A destination that a rule names is split off the range that it is in: a range of its one hash, between
// what is left below and above it. The map marks what is split off (shardmap.Range.SplitOff). Its base range, the part
// that has the range's beginning, stands for the whole range in a member's quota and capacity; split-off parts count
// nothing there, and go where the base range goes unless a rule is about them.

// baseIndexes returns, by range, the index of the range that it was split off from; its own if it wasn't.
func baseIndexes(ranges []shardmap.Range) []int {
	base := make([]int, len(ranges))
	for i := range ranges {
		base[i] = i
		if i > 0 && ranges[i].SplitOff {
			base[i] = base[i-1]
		}
	}
	return base
}

// isSingleHash reports whether a range is one hash.
func isSingleHash(r shardmap.Range) bool { return r.From == r.To }

// rangeSplit is a split that a plan needs: what lies from SplitKey on becomes range NewRange.
type rangeSplit struct {
	Range, NewRange cluster.RangeID
	SplitKey        cluster.KeyHash
}

// RangeMovingError means that no plan can be made until a move ends, whose range has to be split first.
type RangeMovingError struct {
	Range cluster.RangeID
	Move  shardmap.Move
}

func (m *RangeMovingError) Error() string {
	return fmt.Sprintf("range %d has to be split and moves to %q: first that has to end", m.Range, m.Move.To)
}

// splitHashes returns the hashes of the destinations that have to be split off, sorted: those under a pin,
// anti-affinity or dedicated rule. What has a zone affinity goes there with its range.
func splitHashes(f *planfile.File, m *shardmap.Map) (hashes []cluster.KeyHash) {
	for _, rule := range f.Rules {
		if rule.Kind == planfile.ZoneAffinity {
			continue
		}
		for _, d := range rule.Selector.Destinations {
			hashes = append(hashes, m.KeyOf(d))
		}
	}
	slices.Sort(hashes)
	return slices.Compact(hashes)
}

// neededSplits returns the splits that a file needs of a map, in the order in which they are made, and the map after
// them.
func neededSplits(f *planfile.File, m *shardmap.Map) (splits []rangeSplit, after *shardmap.Map, err error) {
	hashes := map[cluster.RangeID][]cluster.KeyHash{}
	for _, h := range splitHashes(f, m) {
		if r, ok := m.RangeOf(h); ok {
			hashes[r.ID] = append(hashes[r.ID], h)
		}
	}
	copied := *m
	after = &copied
	after.Ranges = nil
	for _, r := range m.Ranges {
		parts, partSplits := splitRange(r, hashes[r.ID], after.NextID)
		if len(partSplits) > 0 && r.Move.IsOpen() {
			return nil, nil, &RangeMovingError{r.ID, r.Move}
		}
		splits = append(splits, partSplits...)
		after.NextID += cluster.RangeID(len(partSplits))
		after.Ranges = append(after.Ranges, parts...)
	}
	if len(after.Ranges) > planfile.MaxRanges {
		return nil, nil, f.Errorf(1, "%d ranges, once destinations are split off; there may be %d", len(after.Ranges),
			planfile.MaxRanges)
	}
	return splits, after, nil
}

// splitRange returns the parts of a range after some hashes, sorted, are split off, and the splits. It splits from the
// top, since the lowest part keeps the range's ID and lease.
func splitRange(r shardmap.Range, hashes []cluster.KeyHash, nextID cluster.RangeID) ([]shardmap.Range, []rangeSplit) {
	parts := []shardmap.Range{r}
	var splits []rangeSplit
	for _, h := range slices.Backward(hashes) {
		for _, key := range []cluster.KeyHash{h + 1, h} {
			low := &parts[0]
			if key <= low.From || key > low.To {
				continue // the hash is at an end, or the range is this hash alone
			}
			splits = append(splits, rangeSplit{Range: r.ID, NewRange: nextID, SplitKey: key})
			upper := shardmap.Range{
				ID:       nextID,
				From:     key,
				To:       low.To,
				Owner:    r.Owner,
				Epoch:    r.Epoch,
				Status:   r.Status,
				SplitOff: true,
			}
			nextID++
			low.To = key - 1
			parts = slices.Insert(parts, 1, upper)
		}
	}
	return parts, splits
}

// splitKeyCounts returns a function for the number of keys of ranges after splits: each part has a share of its range's
// keys by its width.
func splitKeyCounts(keys func(cluster.RangeID) uint64, before, after *shardmap.Map,
	splits []rangeSplit) func(cluster.RangeID) uint64 {
	if keys == nil || len(splits) == 0 {
		return keys
	}
	counts := map[cluster.RangeID]uint64{}
	for _, split := range splits {
		whole, _ := before.RangeByID(split.Range)
		wholeWidth := float64(whole.To-whole.From) + 1
		for _, id := range []cluster.RangeID{split.Range, split.NewRange} {
			part, _ := after.RangeByID(id)
			width := float64(part.To-part.From) + 1
			counts[id] = uint64(float64(keys(split.Range)) * (width / wholeWidth))
			if isSingleHash(part) {
				counts[id] = max(1, counts[id])
			}
		}
	}
	return func(id cluster.RangeID) uint64 {
		if n, ok := counts[id]; ok {
			return n
		}
		return keys(id)
	}
}

// isBase reports whether a range counts in its member's quota and capacity.
func (p *problem) isBase(i int) bool { return p.base[i] == i }

// findFollowers finds the split-off ranges that no rule is about by themselves: they go where their base range goes.
func (p *problem) findFollowers() {
	for i, base := range p.base {
		p.followsBase[i] = base != i && p.hasConstraintsOfBase(i, base)
	}
}

func (p *problem) hasConstraintsOfBase(i, base int) bool {
	own, others := p.constraints[i], p.constraints[base]
	if len(own.rules) == 0 {
		return true
	}
	return len(own.antiAffinity) == 0 &&
		isSameTarget(own.pin, others.pin) &&
		isSameTarget(own.zone, others.zone) &&
		!p.isNamedDestination(i)
}

// isSameTarget reports whether two rules, either of which may be nil, want a range in the same place.
func isSameTarget(a, b *planfile.Rule) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Member == b.Member && a.Zone == b.Zone
}

// isNamedDestination reports whether a range is the one hash of a destination that a rule names.
func (p *problem) isNamedDestination(i int) bool {
	if !isSingleHash(p.ranges[i]) {
		return false
	}
	hasHash := func(d api.DestinationID) bool { return p.hashOf(d) == p.ranges[i].From }
	return slices.ContainsFunc(p.constraints[i].rules, func(k int) bool {
		rule := &p.file.Rules[k]
		return rule.Kind != planfile.ZoneAffinity && slices.ContainsFunc(rule.Selector.Destinations, hasHash)
	})
}

// addReshapes puts splits before the steps of a plan, and behind them the merges of split-off ranges that are side by
// side and that no rule needs apart any more.
func (p *problem) addReshapes(moves []Step, splits []rangeSplit, target []int) []Step {
	steps, lastStep := p.splitSteps(splits)
	for _, s := range moves {
		for n := range s.DependsOn {
			s.DependsOn[n].Step += len(splits)
		}
		if k, ok := lastStep[s.Range]; ok && k < len(splits) {
			s.DependsOn = append(s.DependsOn, Dependency{k, RangeBoundary})
		}
		steps = append(steps, s)
	}
	for k, s := range steps {
		lastStep[s.Range] = k
		if s.Kind == StepSplit {
			lastStep[s.OtherRange] = k
		}
	}
	return p.addMerges(steps, lastStep, target)
}

// splitSteps returns the steps of splits, and by range the last step that is about it.
func (p *problem) splitSteps(splits []rangeSplit) (steps []Step, lastStep map[cluster.RangeID]int) {
	lastStep = map[cluster.RangeID]int{}
	for k, split := range splits {
		s := Step{Range: split.Range, Kind: StepSplit, SplitKey: split.SplitKey, OtherRange: split.NewRange}
		if i, ok := p.rangeIndex[split.Range]; ok {
			s.From, s.To = p.ranges[i].Owner, p.ranges[i].Owner
		}
		if k > 0 { // the map numbers the new ranges in this order
			s.DependsOn = []Dependency{{k - 1, RangeBoundary}}
		}
		steps = append(steps, s)
		lastStep[split.Range], lastStep[split.NewRange] = k, k
	}
	return steps, lastStep
}

func (p *problem) addMerges(steps []Step, lastStep map[cluster.RangeID]int, target []int) []Step {
	first := 0 // of the ranges that are merged into it
	for i := 1; i < len(p.ranges); i++ {
		if !p.canMerge(first, i) || target[i] != target[first] {
			first = i
			continue
		}
		owner := p.members[target[i]].ID
		into, other := p.ranges[first].ID, p.ranges[i].ID
		s := Step{Range: into, From: owner, To: owner, Kind: StepMerge, OtherRange: other}
		for _, id := range []cluster.RangeID{into, other} {
			if k, ok := lastStep[id]; ok {
				s.DependsOn = append(s.DependsOn, Dependency{k, RangeBoundary})
			}
		}
		steps = append(steps, s)
		lastStep[into] = len(steps) - 1
	}
	return steps
}

// canMerge reports whether a later range may be merged into an earlier one: both are parts of one base range, and the
// later follows it.
func (p *problem) canMerge(first, i int) bool {
	if p.base[i] != p.base[first] || !p.followsBase[i] {
		return false
	}
	return first == p.base[i] || p.followsBase[first]
}

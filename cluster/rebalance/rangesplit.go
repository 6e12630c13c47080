package rebalance

import (
	"fmt"
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/rebalance/planfile"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

// A destination that a rule names is split off its range: its hash becomes a range of one hash, between the rest of the
// range below and above it. The map marks the split-off parts (shardmap.Range.SplitOff). The part with the range's
// first hash is the base range. It counts for the whole range in a member's quota and capacity; split-off parts don't
// count, and are placed with the base range unless a rule applies to them.

// baseIndexes returns, by range, the index of its base range, which is its own index if it was not split off.
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

// isSingleHash reports whether a range consists of one hash.
func isSingleHash(r shardmap.Range) bool { return r.From == r.To }

// rangeSplit is a split that a plan needs: the hashes of Range from SplitKey on become range NewRange.
type rangeSplit struct {
	Range, NewRange cluster.RangeID
	SplitKey        cluster.KeyHash
}

// RangeMovingError means that no plan can be made yet: a range has to be split, and its open move has to end first.
type RangeMovingError struct {
	Range cluster.RangeID
	Move  shardmap.Move
}

func (m *RangeMovingError) Error() string {
	return fmt.Sprintf("range %d has to be split, but is moving to %q: the move has to end first", m.Range, m.Move.To)
}

// splitHashes returns the hashes of the destinations that have to be split off, sorted: those that a pin, an
// anti-affinity or a dedicated rule names. A zone affinity needs no split, since the whole range is placed in the zone.
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

// neededSplits returns the splits of a map that a file needs, in the order in which they are made, and the resulting
// map.
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
		return nil, nil, f.Errorf(1, "%d ranges after destinations are split off; the limit is %d", len(after.Ranges),
			planfile.MaxRanges)
	}
	return splits, after, nil
}

// splitRange splits the given hashes, which are sorted, off a range. It returns the parts and the splits. It splits
// from the highest hash down, since the lower part of each split keeps the range's ID and lease.
func splitRange(r shardmap.Range, hashes []cluster.KeyHash, nextID cluster.RangeID) ([]shardmap.Range, []rangeSplit) {
	parts := []shardmap.Range{r}
	var splits []rangeSplit
	for _, h := range slices.Backward(hashes) {
		for _, key := range []cluster.KeyHash{h + 1, h} {
			low := &parts[0]
			if key <= low.From || key > low.To {
				continue // the hash is at an end of the range, or is all of it
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

// splitKeyCounts returns a function that returns the number of keys of each range of the map `after`. It estimates
// the keys of a part by its share of the width of its range; a part of a single hash has at least one.
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

// isBase reports whether a range is its own base range, so that it counts in its member's quota and capacity.
func (p *problem) isBase(i int) bool { return p.base[i] == i }

// findFollowers finds the split-off ranges that are placed with their base range, since no rule treats them
// differently.
func (p *problem) findFollowers() {
	for i, base := range p.base {
		p.followsBase[i] = base != i && p.hasConstraintsOfBase(i, base)
	}
}

// hasConstraintsOfBase reports whether a split-off range can be placed with its base range: no rule applies to it, or
// it has the pin and the zone affinity of its base, no anti-affinity, and no other rule that names its destination.
func (p *problem) hasConstraintsOfBase(i, base int) bool {
	own, ofBase := p.constraints[i], p.constraints[base]
	if len(own.rules) == 0 {
		return true
	}
	return len(own.antiAffinity) == 0 &&
		isSameTarget(own.pin, ofBase.pin) &&
		isSameTarget(own.zone, ofBase.zone) &&
		!p.isNamedDestination(i)
}

// isSameTarget reports whether two rules place a range on the same member or in the same zone. A rule may be nil, which
// equals only nil.
func isSameTarget(a, b *planfile.Rule) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Member == b.Member && a.Zone == b.Zone
}

// isNamedDestination reports whether a range is the single hash of a destination that a rule names.
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

// addReshapes adds the splits before the moves of a plan, and after them the merges of adjacent parts of a range that
// no rule requires to be separate ranges any more.
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

// splitSteps returns the steps for splits and, by range, the last step that changes it.
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

// addMerges adds the merges of adjacent parts of a range whose targets are the same member.
func (p *problem) addMerges(steps []Step, lastStep map[cluster.RangeID]int, target []int) []Step {
	first := 0 // the range that the following ones are merged into
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

// canMerge reports whether range i may be merged into an earlier one: both are parts of one range, and the rules
// require nothing of i, or of the earlier part, that they don't require of the base range.
func (p *problem) canMerge(first, i int) bool {
	if p.base[i] != p.base[first] || !p.followsBase[i] {
		return false
	}
	return first == p.base[i] || p.followsBase[first]
}

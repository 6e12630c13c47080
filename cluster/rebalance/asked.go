package rebalance

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

// asked is what the rules ask of one range. Each may come from several rules; the first is named in errors.
type asked struct {
	pin, keep *Rule // pin: of kind Pin or Alone
	apart     []int // indexes of rules
	rules     []int // all that are about it, but Leave
}

// task is a file brought together with a map: members and ranges by index.
type task struct {
	file    *File
	ranges  []shardmap.Range
	told    []uint64 // keys of each range; its part of the hashes where none are told
	keys    []int64  // the same, as moves are weighed
	asked   []asked
	covered [][]int // by rule
	home    []int   // -1: on a member that the file doesn't have
	towards []int   // where a move that can still go back is under way to; -1: none
	members []Member
	stays   []bool
	alone   []*Rule
	head    []int  // by range: the one that it is a piece of
	follows []bool // a piece that goes where its head goes
	at      map[cluster.MemberID]int
	rangeAt map[cluster.RangeID]int
	key     func(api.DestinationID) cluster.KeyHash
}

func newTask(f *File, m *shardmap.Map, keys func(cluster.RangeID) uint64) *task {
	t := &task{file: f, ranges: m.Ranges, key: m.KeyOf, members: f.Members, at: map[cluster.MemberID]int{},
		rangeAt: map[cluster.RangeID]int{}, asked: make([]asked, len(m.Ranges))}
	for i, v := range f.Members {
		t.at[v.ID] = i
		t.stays = append(t.stays, f.leaves(v.ID) == nil)
		t.alone = append(t.alone, f.about(Dedicated, v.ID))
	}
	for i, r := range t.ranges {
		t.rangeAt[r.ID] = i
		t.home = append(t.home, t.index(r.Owner))
		t.towards = append(t.towards, -1)
		if r.Move.IsOpen() && r.Move.Step < shardmap.StepSwitched {
			t.towards[i] = t.index(r.Move.To)
		}
	}
	t.head, t.follows = heads(t.ranges), make([]bool, len(t.ranges))
	t.weigh(keys)
	return t
}

func (t *task) index(id cluster.MemberID) int {
	if i, ok := t.at[id]; ok {
		return i
	}
	return -1
}

// weigh takes the keys of each range as told, or else its part of the hashes. Guards against prices that
// overflow: one is the sum of all keys at the most, times costPart, times the ranges twice.
func (t *task) weigh(keys func(cluster.RangeID) uint64) {
	sum := 60 - bits.Len(costPart) - 2*bits.Len(uint(len(t.ranges)))
	most := uint64(0)
	for _, r := range t.ranges {
		n := uint64(r.To-r.From)>>32 + 1
		if keys != nil {
			n = keys(r.ID)
		}
		t.told, most = append(t.told, n), max(most, n)
	}
	shift := 0
	for most>>shift > 1<<sum/uint64(len(t.ranges))+1 {
		shift++
	}
	for _, n := range t.told {
		t.keys = append(t.keys, int64(n>>shift))
	}
}

// resolve finds the ranges of each rule and refuses rules that ask two things of one.
func (t *task) resolve() error {
	f := t.file
	t.covered = make([][]int, len(f.Rules))
	for k := range f.Rules {
		var err error
		if t.covered[k], err = t.covers(&f.Rules[k]); err != nil {
			return err
		}
		for _, i := range t.covered[k] {
			if err := t.ask(i, k); err != nil {
				return err
			}
		}
	}
	t.follow()
	if err := t.fixed(); err != nil {
		return err
	}
	for k := range f.Rules {
		if f.Rules[k].Kind == AntiAffinity {
			if err := t.partable(k); err != nil {
				return err
			}
		}
	}
	return nil
}

// covers is the ranges that a rule is about, in order.
func (t *task) covers(r *Rule) ([]int, error) {
	var found []int
	of := map[int]int{}
	for k, d := range r.Selector.Destinations {
		i := t.holds(t.key(d))
		if was, twice := of[i]; twice && r.Kind == AntiAffinity && r.Selector.Destinations[was] != d {
			return nil, t.file.at(r.Line, "apart %q: destinations %d and %d lie in one range (%d); split it first",
				r.Name, r.Selector.Destinations[was], d, t.ranges[i].ID)
		}
		of[i] = k
		found = append(found, i)
	}
	if r.Selector.HasHashes {
		for i := t.holds(r.Selector.FirstHash); i < len(t.ranges) && t.ranges[i].From <= r.Selector.LastHash; i++ {
			if r.Kind != AntiAffinity || t.whole(i) { // pieces of a range are not apart from one another
				found = append(found, i)
			}
		}
	}
	slices.Sort(found)
	return slices.Compact(found), nil
}

func (t *task) holds(key cluster.KeyHash) int {
	i, _ := slices.BinarySearchFunc(t.ranges, key, func(r shardmap.Range,
		k cluster.KeyHash) int {
		return cmp.Compare(r.To, k)
	})
	return i
}

// what names a range as the operator knows it.
func (t *task) what(i int, rules ...*Rule) string {
	for _, r := range rules {
		for _, d := range r.Selector.Destinations {
			if t.holds(t.key(d)) == i {
				return fmt.Sprintf("destination %d (range %d)", d, t.ranges[i].ID)
			}
		}
	}
	return fmt.Sprintf("range %d", t.ranges[i].ID)
}

// ask adds a rule to what is asked of a range. The later of two that can't both be is refused.
func (t *task) ask(i, rule int) error {
	r, a := &t.file.Rules[rule], &t.asked[i]
	a.rules = append(a.rules, rule)
	clash := func(was *Rule, how string) error {
		return t.file.at(r.Line, "%s %q and %s %q (line %d) %s: %s", r.Kind, r.Name, was.Kind, was.Name, was.Line,
			how,
			t.what(i, r, was))
	}
	switch r.Kind {
	case Pin, Dedicated:
		if a.pin != nil && a.pin.Member != r.Member {
			return clash(a.pin, "want it on two members")
		}
		if a.keep != nil && a.keep.Zone != t.members[t.at[r.Member]].Zone {
			return clash(a.keep, fmt.Sprintf("can't both be, as %q is not in zone %q", r.Member, a.keep.Zone))
		}
		if a.pin == nil || r.Kind == Dedicated {
			a.pin = r
		}
	case ZoneAffinity:
		if a.keep != nil && a.keep.Zone != r.Zone {
			return clash(a.keep, "want it in two zones")
		}
		if a.pin != nil && t.members[t.at[a.pin.Member]].Zone != r.Zone {
			return clash(a.pin, fmt.Sprintf("can't both be, as %q is not in zone %q", a.pin.Member, r.Zone))
		}
		a.keep = r
	case AntiAffinity:
		a.apart = append(a.apart, rule)
	}
	return nil
}

// fixed refuses what is pinned to a member beyond its room, or beside what shall be alone there.
func (t *task) fixed() error {
	count := make([]int, len(t.members))
	for i := range t.ranges {
		pin := t.asked[i].pin
		if pin == nil {
			continue
		}
		m := t.at[pin.Member]
		if alone := t.alone[m]; alone != nil && pin.Kind != Dedicated {
			return t.file.at(pin.Line,
				"pin %q puts %s on %q, which shall have nothing but what alone %q (line %d) says",
				pin.Name, t.what(i, pin), pin.Member, alone.Name, alone.Line)
		}
		if t.whole(i) {
			count[m]++
		}
		if t.members[m].Capacity > 0 && count[m] > t.members[m].Capacity {
			return t.file.at(pin.Line, "%s %q: %q has room for %d (line %d), and more are pinned there, as %s",
				pin.Kind, pin.Name, pin.Member, t.members[m].Capacity, t.members[m].Line, t.what(i, pin))
		}
	}
	return nil
}

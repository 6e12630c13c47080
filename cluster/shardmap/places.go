package shardmap

import (
	"cmp"
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// Group is of destinations that stand at one place among the ranges, whatever their own numbers say, so that
// one member is home of them all.
type Group struct {
	At cluster.KeyHash     `cbor:"1,keyasint"`
	Of []api.DestinationID `cbor:"2,keyasint"` // sorted
}

// Stray is a destination that came to stand in another range while the grant of the one before was held: by
// that grant and a map from before Since it may be served there yet, and so nowhere else.
type Stray struct {
	Dest  api.DestinationID `cbor:"1,keyasint"`
	Under Under             `cbor:"2,keyasint"`
}

func (s Stray) compare(o Stray) int {
	return cmp.Or(cmp.Compare(s.Dest, o.Dest), cmp.Compare(s.Under.Range, o.Under.Range),
		cmp.Compare(s.Under.Epoch, o.Under.Epoch))
}

// mostPlaced bounds what a broken command can make a keeper hold.
const mostPlaced = 1 << 17

// index is where destinations stand that are in a group.
func index(groups []Group) map[api.DestinationID]cluster.KeyHash {
	at := map[api.DestinationID]cluster.KeyHash{}
	for _, g := range groups {
		for _, d := range g.Of {
			at[d] = g.At
		}
	}
	return at
}

// apart is whether no destination is in two groups, nor twice in one, and they are not too many.
func apart(groups []Group) bool {
	n := 0
	for _, g := range groups {
		n += len(g.Of)
	}
	return n <= mostPlaced && n == len(index(groups))
}

// Key is where a destination stands among the ranges.
func (m *Map) Key(d api.DestinationID) cluster.KeyHash {
	if at, is := m.placed[d]; is {
		return at
	}
	return cluster.DestinationKeyHash(d)
}

// Holds is whether a destination stands in a range of this map.
func (m *Map) Holds(r Range, d api.DestinationID) bool {
	k := m.Key(d)
	return r.From <= k && k <= r.To
}

// place has other destinations stand together. Guards against two that serve one of those that move: whoever
// holds the grant by which it was served is to say first that it goes by this map.
func (m *Map) place(now cluster.Version, groups []Group) error {
	if !apart(groups) {
		return cluster.ErrNotFound
	}
	if SameGroups(groups, m.Groups) {
		return cluster.ErrStale
	}
	was := *m
	m.Place(groups)
	m.Strays = slices.Clone(m.Strays)
	for _, of := range []map[api.DestinationID]cluster.KeyHash{was.placed, m.placed} {
		for d := range of {
			from, known := was.Of(was.Key(d))
			if to, _ := m.Of(m.Key(d)); !known || to.ID == from.ID {
				continue
			}
			for _, u := range append([]Under{{from.ID, from.Epoch, now}}, from.Also...) {
				if u.Since = now; m.under(u) {
					m.Strays = append(m.Strays, Stray{d, u})
				}
			}
		}
	}
	slices.SortFunc(m.Strays, func(a, b Stray) int {
		return cmp.Or(a.compare(b), cmp.Compare(b.Under.Since, a.Under.Since))
	})
	m.Strays = slices.CompactFunc(m.Strays, func(a, b Stray) bool { return a.compare(b) == 0 })
	return nil
}

// Place has destinations stand together in a map that nobody serves by yet; each is in one group.
func (m *Map) Place(groups []Group) { m.Groups, m.placed = groups, index(groups) }

// SameGroups is whether nobody would stand elsewhere.
func SameGroups(a, b []Group) bool {
	return slices.EqualFunc(a, b, func(a, b Group) bool { return a.At == b.At && slices.Equal(a.Of, b.Of) })
}

// settle forgets strays, where there are such.
func (m *Map) settle(over func(Stray) bool) error {
	left := slices.DeleteFunc(slices.Clone(m.Strays), over)
	if len(left) == len(m.Strays) {
		return cluster.ErrStale
	}
	m.Strays = left
	return nil
}

// StraysOf are those of a destination.
func (m *Map) StraysOf(d api.DestinationID) []Stray {
	first, _ := slices.BinarySearchFunc(m.Strays, d, func(s Stray, d api.DestinationID) int {
		return cmp.Compare(s.Dest, d)
	})
	last := first
	for last < len(m.Strays) && m.Strays[last].Dest == d {
		last++
	}
	return m.Strays[first:last]
}

// left is whether a destination is still served under a range's grant, or was when it came to stand
// elsewhere: calls of it count among the range's.
func (m *Map) left(r Range, d api.DestinationID) bool {
	return slices.ContainsFunc(m.StraysOf(d), func(s Stray) bool { return s.Under.Range == r.ID })
}

// Counts is whether calls of a destination are a range's: as long as one is out its grant is not let go.
func (m *Map) Counts(r Range, d api.DestinationID) bool { return m.Holds(r, d) || m.left(r, d) }

// Own is whether it is by a member's own grant that a destination may be served elsewhere.
func (s Stray) Own(who Tenant) bool {
	epoch, held := who.Epoch(cluster.RangeOwnerResource(s.Under.Range))
	return held && epoch == s.Under.Epoch
}

// StrayedFrom lists a member's own grants under which destinations were served that stand elsewhere now, and
// which those are.
func (m *Map) StrayedFrom(who Tenant) map[Under][]api.DestinationID {
	of := map[Under][]api.DestinationID{}
	for _, s := range m.Strays {
		if by := (Under{Range: s.Under.Range, Epoch: s.Under.Epoch}); s.Own(who) {
			of[by] = append(of[by], s.Dest)
		}
	}
	return of
}

// VerdictOf is what a member does with a destination's webhooks, now: MayServe, but for one that may be
// served by another's grant yet.
func (m *Map) VerdictOf(who Tenant, d api.DestinationID) Verdict {
	v := m.MayServe(who, m.Key(d))
	if v.Do == Serve && slices.ContainsFunc(m.StraysOf(d), func(s Stray) bool { return !s.Own(who) }) {
		v.Do = Hold
	}
	return v
}

// AdmitOf is what a member says to a webhook of a destination, forwarded by a version of the map.
func (m *Map) AdmitOf(who Tenant, d api.DestinationID, by cluster.Version) (Admission, Verdict) {
	admission, v := m.Admit(who, m.Key(d), by)
	if admission == Take {
		v = m.VerdictOf(who, d)
	}
	return admission, v
}

// Place has groups of destinations stand together, and all others by their own numbers.
func (e Conductor) Place(groups []Group) cluster.Command {
	return e.of(command{Op: opPlace, Groups: groups})
}

// Sweep forgets strays whose grant is over, where their holder did not live to say so.
func (e Conductor) Sweep() cluster.Command { return e.of(command{Op: opSweep}) }

// Seen says that a home goes by a map as new as this one, and that no call is out of what strayed from it
// until then.
func Seen(id cluster.RangeID, epoch cluster.Epoch, seen cluster.Version) cluster.Command {
	return command{Op: opSeen, Range: id, Epoch: epoch, Seen: seen}.by(cluster.RangeOwnerResource(id), epoch)
}

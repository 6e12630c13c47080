package rebalance

import (
	"math"
	"slices"
	"strconv"
	"time"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

func (f *File) members(w *written) error {
	for _, fl := range w.Fleets {
		if f.Ranges = fl.Ranges; f.Ranges < 0 || f.Ranges > mostRanges {
			return f.at(fl.At.Start.Line, "ranges is %d; it may be 1 to %d", f.Ranges, mostRanges)
		}
	}
	for _, m := range w.Members {
		line, weight := m.At.Start.Line, 1.0
		if m.Weight != nil {
			weight = *m.Weight
		}
		switch was := f.member(cluster.MemberID(m.Name)); {
		case m.Name == "":
			return f.at(line, `member ""; it needs a name`)
		case was != nil:
			return f.at(line, "member %q stands in line %d already", m.Name, was.Line)
		case !(weight >= 0 && weight <= 1e6):
			return f.at(line, "weight of member %q is %g; it may be 0 to 1e6", m.Name, weight)
		case m.Room < 0:
			return f.at(line, "room of member %q is %d; it may be 1 or more, or 0 for no bound", m.Name, m.Room)
		case len(f.Members) == mostMembers:
			return f.at(line, "more than %d members", mostMembers)
		}
		f.Members = append(f.Members, Member{cluster.MemberID(m.Name), m.Zone, weight, m.Room, line})
	}
	if len(f.Members) == 0 {
		return f.at(1, "no member; a plan needs one or more")
	}
	return nil
}

func (f *File) rules(w *written) error {
	for _, b := range w.Leave {
		r := Rule{Kind: Drain, Name: b.Name, Line: b.At.Start.Line, Member: cluster.MemberID(b.Name)}
		f.Rules = append(f.Rules, r)
	}
	add := func(r Rule, destinations []uint32, hashes []string) error {
		for _, d := range destinations {
			r.Selector.Destinations = append(r.Selector.Destinations, api.DestinationID(d))
		}
		if hashes != nil {
			if err := f.span(&r, hashes); err != nil {
				return err
			}
		}
		if len(destinations) == 0 && !r.Selector.HasHashes {
			return f.at(r.Line, "%s %q names nothing; it may have destinations = [7, 9], hashes = [\"0x0\", \"0xff\"]",
				r.Kind, r.Name)
		}
		f.Rules = append(f.Rules, r)
		return nil
	}
	for _, b := range w.Pin {
		r := Rule{Kind: Pin, Name: b.Name, Line: b.At.Start.Line, Member: cluster.MemberID(b.To)}
		if err := add(r, b.Destinations, b.Hashes); err != nil {
			return err
		}
	}
	for _, b := range w.Apart {
		r := Rule{Kind: AntiAffinity, Name: b.Name, Line: b.At.Start.Line, ByZone: b.By == "zone"}
		if !slices.Contains([]string{"", "member", "zone"}, b.By) {
			return f.at(r.Line, "by is %q in apart %q; it may be \"member\" or \"zone\"", b.By, b.Name)
		}
		if err := add(r, b.Destinations, b.Hashes); err != nil {
			return err
		}
	}
	for _, b := range w.Keep {
		r := Rule{Kind: ZoneAffinity, Name: b.Name, Line: b.At.Start.Line, Zone: b.Zone}
		if err := add(r, b.Destinations, b.Hashes); err != nil {
			return err
		}
	}
	for _, b := range w.Alone {
		r := Rule{Kind: Dedicated, Name: b.Name, Line: b.At.Start.Line, Member: cluster.MemberID(b.Name)}
		if err := add(r, b.Destinations, b.Hashes); err != nil {
			return err
		}
	}
	slices.SortStableFunc(f.Rules, func(a, b Rule) int { return a.Line - b.Line })
	return nil
}

func (f *File) span(r *Rule, hashes []string) error {
	var ends [2]uint64
	bad := len(hashes) != 2
	for i := 0; i < 2 && !bad; i++ {
		n, err := strconv.ParseUint(hashes[i], 0, 64)
		ends[i], bad = n, err != nil
	}
	if bad || ends[0] > ends[1] {
		return f.at(r.Line,
			"hashes of %s %q are %q; they may be [FIRST, LAST], as in [\"0x0\", \"0x7fffffffffffffff\"]",
			r.Kind, r.Name, hashes)
	}
	r.Selector.HasHashes, r.Selector.FirstHash, r.Selector.LastHash = true, cluster.KeyHash(ends[0]), cluster.KeyHash(ends[1])
	return nil
}

func (f *File) bounds(w *written) error {
	f.Limits.ConcurrentMoves = 1
	for i, b := range w.Bounds {
		line := b.At.Start.Line
		if i > 0 {
			return f.at(line, "a second bounds block; the first stands in line %d", f.Limits.Line)
		}
		f.Limits.Line = line
		names := [...]string{"moves_at_once", "per_member", "per_zone"}
		for k, n := range [...]*int{b.MovesAtOnce, b.PerMember, b.PerZone} {
			if n != nil && *n < 1 {
				return f.at(line, "%s is %d; it may be 1 or more", names[k], *n)
			}
		}
		set(&f.Limits.ConcurrentMoves, b.MovesAtOnce)
		set(&f.Limits.MovesPerMember, b.PerMember)
		set(&f.Limits.MovesPerZone, b.PerZone)
		if set(&f.Limits.ValueInFlight, b.Value); b.Value != nil && !(*b.Value > 0 && *b.Value < math.MaxFloat64) {
			return f.at(line, "value_under_way is %g; it may be more than 0", *b.Value)
		}
		if b.Pause != "" {
			pause, err := time.ParseDuration(b.Pause)
			if err != nil || pause < 0 || pause > 24*time.Hour {
				return f.at(line, "pause is %q; it may be \"0s\" to \"24h\"", b.Pause)
			}
			f.Limits.Cooldown = api.Micros(pause.Microseconds())
		}
	}
	return nil
}

func set[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

func (f *File) stopWhen(w *written) error {
	s := &f.StopConditions
	s.Rejected, s.DeadLettered, s.Late = -1, -1, -1
	for i, b := range w.Stop {
		line := b.At.Start.Line
		if i > 0 {
			return f.at(line, "a second stop_when block; the first stands in line %d", s.Line)
		}
		s.Line, s.Unhealthy = line, b.Sick
		names := [...]string{"rejected", "dead_lettered", "late"}
		for k, share := range [...]*float64{b.Rejected, b.DeadLettered, b.Late} {
			if share != nil && !(*share >= 0 && *share <= 1) {
				return f.at(line, "%s is %g; it may be a share from 0 to 1", names[k], *share)
			}
		}
		set(&s.Rejected, b.Rejected)
		set(&s.DeadLettered, b.DeadLettered)
		set(&s.Late, b.Late)
	}
	return nil
}

package rebalance

import (
	"fmt"
	"slices"
	"strings"
)

// check refuses what contradicts itself whatever the map is.
func (f *File) check() error {
	names := map[string]*Rule{}
	for i := range f.Rules {
		r := &f.Rules[i]
		if was := names[r.Name]; was != nil {
			return f.at(r.Line, "%s %q: the name is taken by %s in line %d", r.Kind, r.Name, was.Kind, was.Line)
		}
		names[r.Name] = r
		if err := f.place(r); err != nil {
			return err
		}
	}
	return f.round()
}

// place refuses a rule whose member or zone can't have what the rule wants there.
func (f *File) place(r *Rule) error {
	if r.Member != "" || r.Kind == Pin {
		if f.member(r.Member) == nil {
			return f.at(r.Line, "%s %q: no member is called %q; it may be %s", r.Kind, r.Name, r.Member, f.names())
		}
	}
	leaves := f.leaves(r.Member)
	switch {
	case r.Kind == Pin || r.Kind == Dedicated:
		if leaves != nil {
			return f.at(r.Line, "%s %q wants ranges on %q, which leaves by line %d", r.Kind, r.Name, r.Member,
				leaves.Line)
		}
	case r.Kind == ZoneAffinity:
		var zones []string
		var why []string
		for _, m := range f.Members {
			if zones = append(zones, fmt.Sprintf("%q", m.Zone)); m.Zone != r.Zone {
				continue
			}
			gone := f.leaves(m.ID)
			if gone == nil {
				return nil
			}
			why = append(why, fmt.Sprintf("%q leaves by line %d", m.ID, gone.Line))
		}
		if len(why) > 0 {
			return f.at(r.Line, "keep %q: zone %q has no member that stays: %s", r.Name, r.Zone, some(why))
		}
		slices.Sort(zones)
		return f.at(r.Line, "keep %q: zone %q has no member (members from line %d on); it may be %s", r.Name,
			r.Zone,
			f.Members[0].Line, some(slices.Compact(zones)))
	}
	return nil
}

func (f *File) names() string {
	var all []string
	for _, m := range f.Members {
		all = append(all, fmt.Sprintf("%q", m.ID))
	}
	return some(all)
}

// some keeps an error to one line that can be read.
func some(all []string) string {
	const most = 8
	if len(all) > most {
		return strings.Join(all[:most], ", ") + fmt.Sprintf(" and %d more", len(all)-most)
	}
	return strings.Join(all, ", ")
}

// turns reads both ways of saying what goes first: before "a" { after = ["b"] }, after "b" { before = ["a"]
// }.
func (f *File) turns(w *written) error {
	named := func(line int, name string) (int, error) {
		if i := slices.IndexFunc(f.Rules, func(r Rule) bool { return r.Name == name }); i >= 0 {
			return i, nil
		}
		all := []string{"the name of a pin, apart, keep, alone or leave"}
		for _, r := range f.Rules {
			all = append(all, fmt.Sprintf("%q", r.Name))
		}
		return 0, f.at(line, "no rule is called %q; it may be %s", name, some(all))
	}
	add := func(line int, first, then string) error {
		a, err := named(line, first)
		if err != nil {
			return err
		}
		b, err := named(line, then)
		if err != nil {
			return err
		}
		f.Precedences = append(f.Precedences, Precedence{a, b, line})
		return nil
	}
	for _, b := range w.Before {
		for _, then := range b.After {
			if err := add(b.At.Start.Line, b.Name, then); err != nil {
				return err
			}
		}
	}
	for _, b := range w.After {
		for _, first := range b.Before {
			if err := add(b.At.Start.Line, first, b.Name); err != nil {
				return err
			}
		}
	}
	slices.SortStableFunc(f.Precedences, func(a, b Precedence) int { return a.Line - b.Line })
	return nil
}

// round refuses turns that go in a circle, with the lines that make it up.
func (f *File) round() error {
	state := make([]int, len(f.Rules)) // 1: on the path, 2: done
	var path []Precedence
	var visit func(rule int) error
	visit = func(rule int) error {
		state[rule] = 1
		for _, t := range f.Precedences {
			if t.First != rule || state[t.Then] == 2 {
				continue
			}
			if path = append(path, t); state[t.Then] == 1 {
				from := slices.IndexFunc(path, func(p Precedence) bool { return p.First == t.Then })
				var way []string
				for _, p := range path[from:] {
					way = append(way, fmt.Sprintf("%q before %q (line %d)", f.Rules[p.First].Name,
						f.Rules[p.Then].Name, p.Line))
				}
				return f.at(t.Line, "the order goes in a circle: %s", some(way))
			}
			if err := visit(t.Then); err != nil {
				return err
			}
			path = path[:len(path)-1]
		}
		state[rule] = 2
		return nil
	}
	for i := range f.Rules {
		if state[i] == 0 {
			if err := visit(i); err != nil {
				return err
			}
		}
	}
	return nil
}

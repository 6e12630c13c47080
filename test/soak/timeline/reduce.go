package timeline

import "slices"

// Reduce returns a smaller timeline that still breaks a rule: events are left out one by one, from the last, as long as
// what remains breaks one, until none can be left out. breaks plays a timeline and reports whether it broke a rule.
func (t Timeline) Reduce(breaks func(Timeline) bool) Timeline {
	for reduced := true; reduced; {
		reduced = false
		for i := len(t.Events) - 1; i >= 0; i-- {
			smaller := t
			smaller.Events = slices.Delete(slices.Clone(t.Events), i, i+1)
			if breaks(smaller) {
				t = smaller
				reduced = true
			}
		}
	}
	return t
}

package rebalance

import "math"

// span is how many ranges a member should have: its exact part, rounded either way.
type span struct{ low, high int }

// shares is each member's part of the ranges by weight, within its room. What rules put on a member or in a
// zone is its part at the least, and the others share what is left: within a zone, then between zones.
func (t *task) shares() []span {
	n := len(t.members)
	low, high := make([]float64, n), make([]float64, n)
	for m, v := range t.members {
		high[m] = math.Inf(1)
		if v.Capacity > 0 {
			high[m] = float64(v.Capacity)
		}
		if !t.stays[m] {
			high[m] = 0
		}
	}
	zone, rest := map[string]float64{}, 0.0 // what a zone has to have
	for i := range t.ranges {
		if !t.whole(i) {
			continue
		}
		rest++
		if a := t.asked[i]; a.pin != nil {
			m := t.at[a.pin.Member]
			low[m]++
			zone[t.members[m].Zone]++
		} else if a.keep != nil {
			zone[a.keep.Zone]++
		}
	}
	for m := range t.members {
		if t.alone[m] != nil {
			high[m] = low[m]
		}
	}
	part, open := make([]float64, n), map[string][]int{}
	for m, v := range t.members {
		open[v.Zone] = append(open[v.Zone], m)
	}
	for {
		var all []int
		for m, v := range t.members { // in order, so that sums come out alike each time
			if open[v.Zone] != nil {
				all = append(all, m)
			}
		}
		t.fill(part, all, rest, low, high)
		sums, again := map[string]float64{}, false
		for _, m := range all {
			sums[t.members[m].Zone] += part[m]
		}
		for _, v := range t.members {
			if in := open[v.Zone]; in != nil && sums[v.Zone] < zone[v.Zone]-rounding {
				t.fill(part, in, zone[v.Zone], low, high)
				rest, again, open[v.Zone] = rest-zone[v.Zone], true, nil
			}
		}
		if !again {
			break
		}
	}
	spans := make([]span, n)
	for m := range spans {
		spans[m] = span{int(math.Floor(part[m] + rounding)), int(math.Ceil(part[m] - rounding))}
	}
	return spans
}

const rounding = 1e-6 // of parts, which are sums of floats

// fill shares n ranges among members by weight, none under its low or over its high, as far as that goes.
func (t *task) fill(part []float64, among []int, n float64, low, high []float64) {
	weight := func(m int) float64 { return t.members[m].Weight }
	room := 0.0
	for _, m := range among {
		if weight(m) > 0 {
			room += high[m]
		} else {
			room += min(low[m], high[m])
		}
	}
	if room < n { // those that weigh nothing have to take the rest
		weight = func(m int) float64 {
			if w := t.members[m].Weight; w > 0 {
				return w * 1e9
			}
			return 1
		}
	}
	at := func(level float64) (sum float64) {
		for _, m := range among {
			part[m] = min(max(weight(m)*level, low[m]), high[m])
			sum += part[m]
		}
		return sum
	}
	least, most := 0.0, 1.0
	for i := 0; i < 200 && at(most) < n; i++ {
		most *= 2
	}
	for range 200 {
		if middle := (least + most) / 2; at(middle) < n {
			least = middle
		} else {
			most = middle
		}
	}
	at(most)
}

package rebalance

import "slices"

// solve runs the network and reads each range's member from it, and the price of it all.
func (a *assignment) solve() (to []int, price int64, ok bool) {
	units := a.net.run()
	to = slices.Clone(a.home)
	for _, d := range a.direct {
		if a.net.arcs[d.arc].has > 0 {
			to[d.of] = d.to
		}
	}
	leaving := make([][]int, len(a.classes))
	for _, b := range a.bundles {
		leaving[b.fromClass] = append(leaving[b.fromClass], b.ranges[:a.net.arcs[b.toClass].has]...)
	}
	for k, c := range a.classes {
		slices.Sort(leaving[k])
		for n, arc := range c.arcs {
			for range a.net.arcs[arc].has {
				next := max(0, slices.IndexFunc(leaving[k], func(i int) bool { return a.home[i] != c.may[n] }))
				to[leaving[k][next]] = c.may[n]
				leaving[k] = slices.Delete(leaving[k], next, next+1)
			}
		}
	}
	for k := range a.net.arcs {
		if v := &a.net.arcs[k]; v.price == nil {
			price += int64(v.has) * v.flat
		} else {
			for unit := range v.has {
				price += v.price(unit)
			}
		}
	}
	for i, follows := range a.follows {
		if follows {
			to[i] = to[a.head[i]]
			units++
		}
	}
	return to, price, units == len(a.ranges)
}

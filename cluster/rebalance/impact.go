package rebalance

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/rebalance/planfile"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

// Outcomes counts webhooks by how they ended. Rejected counts those that were not accepted, and those that were
// accepted and later rejected by a callback to the client.
type Outcomes struct {
	Total        uint64 `cbor:"1,keyasint,omitempty"`
	Rejected     uint64 `cbor:"2,keyasint,omitempty"`
	DeadLettered uint64 `cbor:"3,keyasint,omitempty"`
	Late         uint64 `cbor:"4,keyasint,omitempty"`
}

func (o Outcomes) add(other Outcomes) Outcomes {
	return Outcomes{
		Total:        o.Total + other.Total,
		Rejected:     o.Rejected + other.Rejected,
		DeadLettered: o.DeadLettered + other.DeadLettered,
		Late:         o.Late + other.Late,
	}
}

// since returns the outcomes counted since an earlier reading of the same counters.
func (o Outcomes) since(earlier Outcomes) Outcomes {
	return Outcomes{
		Total:        o.Total - earlier.Total,
		Rejected:     o.Rejected - earlier.Rejected,
		DeadLettered: o.DeadLettered - earlier.DeadLettered,
		Late:         o.Late - earlier.Late,
	}
}

// Impact is the measured effect of a plan on the webhooks in the ranges that it moves: the outcomes since the moves
// began, and the baseline before them.
type Impact struct {
	During, Baseline Outcomes
	Unhealthy        []UnhealthyDestination // only destinations that were healthy when the move of their range began
	Ranges           []RangeImpact          // by move, sorted by its ID
}

// UnhealthyDestination is an unhealthy destination and the range that contains it.
type UnhealthyDestination struct {
	Destination api.DestinationID
	Range       cluster.RangeID
}

// ImpactCollector sums up the members' reports on one plan. It retains the last report of each incarnation of a member,
// so that the impact measured by a member that was killed still counts.
type ImpactCollector struct {
	number  uint64 // of the plan
	reports map[reporter]map[shardmap.MoveID]RangeImpact
}

// reporter is one incarnation of a member.
type reporter struct {
	member      cluster.MemberID
	incarnation uint64
}

// AddReport adds a member's report on the plan with the given number. The first report on another plan discards all
// reports on the previous one.
func (c *ImpactCollector) AddReport(number uint64, from cluster.MemberID, r Report) {
	if c.number != number || c.reports == nil {
		c.number = number
		c.reports = map[reporter]map[shardmap.MoveID]RangeImpact{}
	}
	key := reporter{member: from, incarnation: r.Incarnation}
	if c.reports[key] == nil {
		c.reports[key] = map[shardmap.MoveID]RangeImpact{}
	}
	for _, impact := range r.Ranges {
		c.reports[key][impact.Move] = impact
	}
}

// Impact returns the sum of the reports on the plan with the given number.
func (c *ImpactCollector) Impact(number uint64) (sum Impact) {
	if c.number != number {
		return sum
	}
	byMove, unhealthyBefore := c.sumByMove()
	for _, id := range slices.Sorted(maps.Keys(byMove)) {
		impact := byMove[id]
		slices.Sort(impact.Unhealthy)
		impact.Unhealthy = slices.DeleteFunc(slices.Compact(impact.Unhealthy),
			func(d api.DestinationID) bool { return unhealthyBefore[d] })
		for _, d := range impact.Unhealthy {
			sum.Unhealthy = append(sum.Unhealthy, UnhealthyDestination{Destination: d, Range: impact.Range})
		}
		sum.During = sum.During.add(impact.During)
		sum.Baseline = sum.Baseline.add(impact.Baseline)
		sum.Ranges = append(sum.Ranges, impact)
	}
	return sum
}

// sumByMove returns the sum of the reports for each move, and the destinations that some member found unhealthy when a
// move began.
func (c *ImpactCollector) sumByMove() (map[shardmap.MoveID]RangeImpact, map[api.DestinationID]bool) {
	byMove, unhealthyBefore := map[shardmap.MoveID]RangeImpact{}, map[api.DestinationID]bool{}
	for _, impacts := range c.reports {
		for id, impact := range impacts {
			sum := byMove[id]
			sum.Move, sum.Range = id, impact.Range
			sum.During = sum.During.add(impact.During)
			sum.Baseline = sum.Baseline.add(impact.Baseline)
			sum.Unhealthy = append(slices.Clone(sum.Unhealthy), impact.Unhealthy...)
			byMove[id] = sum
			for _, d := range impact.UnhealthyBefore {
				unhealthyBefore[d] = true
			}
		}
	}
	return byMove, unhealthyBefore
}

// stopMeasure is an outcome whose share of all webhooks may stop a plan.
type stopMeasure struct {
	name  string
	limit float64 // how far the share may be above the baseline; below 0: not checked
	count func(Outcomes) uint64
}

func stopMeasures(c planfile.StopConditions) []stopMeasure {
	return []stopMeasure{
		{"rejected", c.Rejected, func(o Outcomes) uint64 { return o.Rejected }},
		{"dead-lettered", c.DeadLettered, func(o Outcomes) uint64 { return o.DeadLettered }},
		{"late", c.Late, func(o Outcomes) uint64 { return o.Late }},
	}
}

// degradation describes the first stop condition of the file that an impact meets, with the range where the impact is
// largest. It returns "" if there is none.
func degradation(c planfile.StopConditions, impact Impact) string {
	for _, measure := range stopMeasures(c) {
		if reason := measure.exceeded(impact, c.Line); reason != "" {
			return reason
		}
	}
	if c.Unhealthy && len(impact.Unhealthy) > 0 {
		first := impact.Unhealthy[0]
		return fmt.Sprintf("destination %d became unhealthy in range %d, which moves; line %d stops at that",
			first.Destination, first.Range, c.Line)
	}
	return ""
}

// exceeded describes how a share exceeds the baseline by more than the limit, or returns "" if it doesn't. A share is
// checked only once there are so many webhooks that a single one is within the limit: one rejected of three is no
// evidence against a limit of 2 %.
func (m stopMeasure) exceeded(impact Impact, line int) string {
	total := impact.During.Total
	isTooFew := total == 0 || m.limit > 0 && float64(total)*m.limit < 1
	if m.limit < 0 || isTooFew {
		return ""
	}
	share := float64(m.count(impact.During)) / float64(total)
	baseline := float64(m.count(impact.Baseline)) / float64(max(1, impact.Baseline.Total))
	if share-baseline <= m.limit {
		return ""
	}
	where := "the ranges that move"
	if len(impact.Ranges) > 0 {
		worst := slices.MaxFunc(impact.Ranges, func(a, b RangeImpact) int {
			return cmp.Compare(m.count(a.During), m.count(b.During))
		})
		where = fmt.Sprintf("%s, most in range %d (%d of %d)", where, worst.Range, m.count(worst.During),
			worst.During.Total)
	}
	return fmt.Sprintf("%.4g of webhooks %s in %s, %.4g before; line %d stops at %g more", share, m.name, where,
		baseline, line, m.limit)
}

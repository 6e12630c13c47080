package member

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// massLossDetectionLimit is how long after a machine was lost clients may still get its address: `contact_ms` and 3 s,
// according to rule DRAIN of the users' page NEWS-22.
const massLossDetectionLimit = 4*time.Second + 3*time.Second

// massLoss is a simulation in which many machines are lost. It records when, and checks that the losses are detected.
type massLoss struct {
	*simulation
	lostAt map[*simNode]time.Time
}

// newMassLoss returns a simulation in which all members know each other. Number, locations and names of the machines are
// generated; the names determine which member watches which.
func newMassLoss(rt *rapid.T) *massLoss {
	locations := rapid.SampledFrom([][]location{
		threeZones,
		{{"a", "west"}, {"b", "west"}, {"c", "west"}},
		{{"a", "west"}, {"b", "west"}, {"c", "east"}, {"d", "east"}},
	}).Draw(rt, "locations")
	size := rapid.IntRange(8, 40).Draw(rt, "size")
	s := newSimulation(rt, rapid.Uint64().Draw(rt, "seed"), size, locations)
	prefix := rapid.StringMatching(`[a-z]{1,8}`).Draw(rt, "name")
	for i, n := range s.nodes {
		n.member.Name = fmt.Sprintf("%s-%s-%d", prefix, n.member.Zone, i)
		n.member.Address = n.member.Name + ":1"
	}
	slices.SortFunc(s.nodes, func(a, b *simNode) int { return cmp.Compare(a.member.Name, b.member.Name) })
	s.startAll()
	s.runUntil(5*time.Second, "the members join", s.hasConverged)
	s.run(5 * time.Second)
	return &massLoss{simulation: s, lostAt: map[*simNode]time.Time{}}
}

// lose kills a machine's process or cuts the machine's power.
func (m *massLoss) lose(n *simNode, powerLoss bool) {
	if powerLoss {
		m.powerOff(n)
	} else {
		m.kill(n)
	}
	m.lostAt[n] = m.now
}

// runChecked advances the simulation and checks it every 100 ms, see check.
func (m *massLoss) runChecked(span time.Duration) {
	for end := m.now.Add(span); m.now.Before(end); {
		m.run(min(100*time.Millisecond, end.Sub(m.now)))
		m.check()
	}
}

// check requires that no running member sees a machine as live that was lost more than massLossDetectionLimit ago, or one
// as down that is running.
func (m *massLoss) check() {
	for _, observer := range m.runningNodes() {
		for n, lostAt := range m.lostAt {
			isLate := m.now.Sub(lostAt) > massLossDetectionLimit
			require.False(m.t, isLate && isSeenLive(observer, n), "%s sees %s as live %v after its loss",
				observer.member.Name, n.member.Name, m.now.Sub(lostAt))
		}
		for _, other := range m.runningNodes() {
			require.False(m.t, observer.node.members.IsDown(other.member.Name), "%s sees %s as down, which is running",
				observer.member.Name, other.member.Name)
		}
	}
}

// TestMembers_MassLossIsDetectedInTime loses some or nearly all machines, at once or one after the other. It guards against
// lost members that stay undetected because their watchers, and the watchers of those, are lost with them.
func TestMembers_MassLossIsDetectedInTime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newMassLoss(rt)
		order := rapid.Permutation(m.nodes).Draw(rt, "order")
		lost := rapid.IntRange(1, len(order)-1).Draw(rt, "lost")
		powerLoss := rapid.Bool().Draw(rt, "power")
		interval := time.Duration(rapid.SampledFrom([]int{0, 0, 20, 150, 400}).Draw(rt, "interval ms")) * time.Millisecond
		for _, n := range order[:lost] {
			m.lose(n, powerLoss)
			m.runChecked(interval)
		}
		m.runChecked(massLossDetectionLimit + 8*time.Second)
		require.True(rt, m.hasConverged(), "all members agree which are live")
	})
}

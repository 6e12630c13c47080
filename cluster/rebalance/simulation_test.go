package rebalance

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/cluster"
	"rowanlink/cluster/rebalance/planfile"
	"rowanlink/cluster/shardmap"
)

// testingT is the part of testing.T and rapid.T that a simulation uses.
type testingT interface {
	require.TestingT
	Helper()
}

// simulation simulates a cluster: a raft log with the shard map and the plan's progress, a coordinator, and members
// that carry out its actions.
type simulation struct {
	t            testingT
	file         *planfile.File
	shards       *shardmap.Map
	progress     *Progress
	logIndex     uint64
	leases       map[cluster.Resource]lease
	rangeValue   func(cluster.RangeID) float64
	gone         map[cluster.MemberID]bool
	isBaseStart  map[cluster.KeyHash]bool // first hashes of the ranges before any split
	startedSteps []int                    // steps in the order in which they started
}

type lease struct {
	owner cluster.MemberID
	epoch cluster.Epoch
}

func (sim *simulation) Holder(resource cluster.Resource) (cluster.LeaseHolder, bool) {
	h, ok := sim.leases[resource]
	return cluster.LeaseHolder{Session: 1, Member: h.owner, Epoch: h.epoch}, ok
}

// newSimulation returns a simulation with one range for each owner. The ranges have equal widths and are all served.
func newSimulation(t testingT, owners ...cluster.MemberID) *simulation {
	sim := &simulation{
		t:           t,
		progress:    &Progress{},
		leases:      map[cluster.Resource]lease{},
		gone:        map[cluster.MemberID]bool{},
		isBaseStart: map[cluster.KeyHash]bool{},
	}
	sim.shards = shardmap.New(sim)
	even, err := shardmap.EvenRanges(len(owners), []shardmap.MemberWeight{{Member: "x", Weight: 1}})
	require.NoError(t, err)
	for i := range even {
		r := &even[i]
		sim.isBaseStart[r.From] = true
		r.Owner, r.Epoch, r.Status = owners[i], 1, shardmap.OwnerServing
		sim.leases[cluster.RangeOwnerResource(r.ID)] = lease{owners[i], 1}
	}
	sim.shards.Ranges, sim.shards.NextID, sim.shards.Version = even, cluster.RangeID(len(owners)+1), 1
	sim.logIndex = 1
	return sim
}

// hashesIn returns a selector of hashes that are all in range i of n equal ranges.
func hashesIn(i, n int) string {
	width := ^uint64(0) / uint64(n)
	return fmt.Sprintf("hashes = [\"%d\", \"%d\"]", width*uint64(i)+width/4, width*uint64(i)+width/2)
}

func (sim *simulation) propose(c cluster.Command) ([]byte, error) {
	sim.logIndex++
	if c.Component == cluster.RebalanceComponent {
		answer, err := sim.progress.Apply(sim.logIndex, c.Body)
		sim.changeCoordinator()
		return answer, err
	}
	return sim.shards.Apply(sim.logIndex, c.Body)
}

func (sim *simulation) mustPropose(c cluster.Command) []byte {
	sim.t.Helper()
	answer, err := sim.propose(c)
	require.NoError(sim.t, err)
	return answer
}

// changeCoordinator replaces the coordinator by another, which knows only the replicated state.
func (sim *simulation) changeCoordinator() {
	snapshot, err := sim.progress.Snapshot()
	require.NoError(sim.t, err)
	sim.progress = &Progress{}
	require.NoError(sim.t, sim.progress.Restore(snapshot))
}

func (sim *simulation) adoptPlan(text string) error {
	f, err := planfile.Parse([]byte(text), "f.hcl")
	if err != nil {
		return err
	}
	p, err := NewPlan(f, sim.shards, nil)
	if err != nil {
		return err
	}
	sim.mustPropose(Coordinator(1).Adopt(sim.progress.Number, "f.hcl", []byte(text), p))
	sim.file = f
	return nil
}

func (sim *simulation) schedule() Decisions {
	observations := Observations{
		SinceLastMove: sim.file.Limits.Cooldown,
		RangeValue:    sim.rangeValue,
		IsGone:        func(m cluster.MemberID) bool { return sim.gone[m] },
	}
	return sim.progress.Schedule(sim.file, sim.shards, observations)
}

// applyActions carries out all actions that are due, and returns their number.
func (sim *simulation) applyActions() int {
	sim.t.Helper()
	decisions := sim.schedule()
	for _, a := range decisions.Actions {
		switch a.Kind {
		case ActionStart:
			var id shardmap.MoveID
			require.NoError(sim.t, cbor.Unmarshal(sim.mustPropose(shardmap.Coordinator(1).PlanMove(a.Range, a.From, a.To)), &id))
			sim.startedSteps = append(sim.startedSteps, a.Step)
		case ActionRollBack:
			sim.mustPropose(shardmap.Coordinator(1).RevertMove(a.Move))
		case ActionRecordState:
			sim.mustPropose(Coordinator(1).RecordState(sim.progress.Number, a.Step, a.State, a.Move))
		case ActionStop:
			sim.mustPropose(Coordinator(1).Stop(sim.progress.Number, a.Reason))
		case ActionSplit:
			sim.mustPropose(shardmap.Coordinator(1).Split(a.Range, a.SplitKey))
			sim.confirmOwners()
		case ActionMerge:
			sim.mustPropose(shardmap.Coordinator(1).Merge(a.Range, a.OtherRange))
		case ActionReplan:
			require.NoError(sim.t, sim.adoptPlan(string(sim.progress.Text)))
		}
	}
	return len(decisions.Actions)
}

// confirmOwners makes the owners of new split-off ranges confirm their ownership.
func (sim *simulation) confirmOwners() {
	for _, r := range sim.shards.Ranges {
		if resource := cluster.RangeOwnerResource(r.ID); r.Status == shardmap.OwnerAssigned {
			sim.leases[resource] = lease{r.Owner, 1}
			sim.mustPropose(shardmap.ConfirmOwner(r.ID, r.Owner, 1, sim.shards.Version))
		}
	}
}

// openMoves returns the ranges with open moves.
func (sim *simulation) openMoves() (all []shardmap.Range) {
	for _, r := range sim.shards.Ranges {
		if r.Move.IsOpen() {
			all = append(all, r)
		}
	}
	return all
}

// advanceMove advances a range's open move by one step.
func (sim *simulation) advanceMove(r shardmap.Range) {
	sim.t.Helper()
	v, resource := r.Move, cluster.RangeOwnerResource(r.ID)
	switch {
	case v.Step < shardmap.StepHandoff:
		sim.mustPropose(shardmap.Coordinator(1).AdvanceMove(v.ID, v.Step+1))
	case v.Step == shardmap.StepHandoff:
		sim.leases[resource] = lease{v.To, sim.leases[resource].epoch + 1}
		sim.mustPropose(shardmap.SwitchOwner(v.ID, r.ID, v.To, sim.leases[resource].epoch))
	case !v.TargetCleared:
		sim.mustPropose(shardmap.ClearMove(v.ID, v.To))
	default:
		sim.mustPropose(shardmap.ClearMove(v.ID, v.From))
	}
}

// requireLimits checks the limits and capacities, which have to hold at all times.
func (sim *simulation) requireLimits() {
	sim.t.Helper()
	owned, moves, zones, value := map[cluster.MemberID]int{}, map[cluster.MemberID]int{}, map[string]int{}, 0.0
	limits := sim.file.Limits
	for _, r := range sim.shards.Ranges {
		capacityUsed := 0
		if sim.isBaseStart[r.From] { // split-off ranges use no capacity
			capacityUsed = 1
		}
		owned[r.Owner] += capacityUsed
		if v := r.Move; v.IsOpen() {
			other := v.To
			if r.Owner == v.To {
				other = v.From
			}
			owned[other] += capacityUsed
			moves[v.From]++
			moves[v.To]++
			from, to := sim.file.FindMember(v.From).Zone, sim.file.FindMember(v.To).Zone
			if zones[from]++; from != to {
				zones[to]++
			}
			if sim.rangeValue != nil {
				value += sim.rangeValue(r.ID)
			}
		}
	}
	require.LessOrEqual(sim.t, len(sim.openMoves()), limits.ConcurrentMoves, "moves_at_once")
	for _, m := range sim.file.Members {
		require.True(sim.t, limits.MovesPerMember == 0 || moves[m.ID] <= limits.MovesPerMember, "per_member of %s", m.ID)
		require.True(sim.t, limits.MovesPerZone == 0 || zones[m.Zone] <= limits.MovesPerZone, "per_zone of %s", m.Zone)
		if moves[m.ID] > 0 && m.Capacity > 0 {
			incoming := 0 // a member above its capacity from the start may be the source of moves
			for _, r := range sim.openMoves() {
				if r.Move.To == m.ID && sim.isBaseStart[r.From] {
					incoming++
				}
			}
			require.True(sim.t, incoming == 0 || owned[m.ID] <= m.Capacity, "room of %s: %d of %d", m.ID, owned[m.ID], m.Capacity)
		}
	}
	require.True(sim.t, limits.ValueInFlight == 0 || value <= limits.ValueInFlight, "value_under_way")
}

// runToEnd runs the plan until nothing is left to do. Moves advance in random order.
func (sim *simulation) runToEnd(t *rapid.T) {
	for range 10_000 {
		for sim.applyActions() > 0 {
			sim.requireLimits()
		}
		open := sim.openMoves()
		if len(open) == 0 {
			return
		}
		sim.advanceMove(open[rapid.IntRange(0, len(open)-1).Draw(t, "advanced move")])
		sim.requireLimits()
	}
	require.Fail(sim.t, "the plan doesn't end within 10000 rounds")
}

func (sim *simulation) ownerOf(i int) cluster.MemberID { return sim.shards.Ranges[i].Owner }

var _ testingT = (*testing.T)(nil)

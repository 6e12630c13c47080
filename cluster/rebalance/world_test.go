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

// tester is testing.T or rapid.T.
type tester interface {
	require.TestingT
	Helper()
}

// world is a log with its map of ranges and its plan, and members that do as they are told.
type world struct {
	t     tester
	file  *planfile.File
	m     *shardmap.Map
	p     *Progress
	index uint64
	held  map[cluster.Resource]held
	value func(cluster.RangeID) float64
	gone  map[cluster.MemberID]bool
	first map[cluster.KeyHash]bool // where ranges began before any was split
	began []int                    // steps in the order in which they began
}

type held struct {
	member cluster.MemberID
	epoch  cluster.Epoch
}

func (w *world) Holder(task cluster.Resource) (cluster.SessionID, cluster.MemberID, cluster.Epoch, bool) {
	h, ok := w.held[task]
	return 1, h.member, h.epoch, ok
}

// newWorld has one even range for each home, all seated.
func newWorld(t tester, homes ...cluster.MemberID) *world {
	w := &world{t: t, p: &Progress{}, held: map[cluster.Resource]held{}, gone: map[cluster.MemberID]bool{},
		first: map[cluster.KeyHash]bool{}}
	w.m = shardmap.New(w)
	even, err := shardmap.EvenRanges(len(homes), []shardmap.MemberWeight{{Member: "x", Weight: 1}})
	require.NoError(t, err)
	for i := range even {
		r := &even[i]
		w.first[r.From] = true
		r.Owner, r.Epoch, r.Status = homes[i], 1, shardmap.OwnerServing
		w.held[cluster.RangeOwnerResource(r.ID)] = held{homes[i], 1}
	}
	w.m.Ranges, w.m.NextID, w.m.Version = even, cluster.RangeID(len(homes)+1), 1
	w.index = 1
	return w
}

// of is a span of hashes that only one range lies in.
func of(i, n int) string {
	each := ^uint64(0) / uint64(n)
	return fmt.Sprintf("hashes = [\"%d\", \"%d\"]", each*uint64(i)+each/4, each*uint64(i)+each/2)
}

func (w *world) propose(c cluster.Command) ([]byte, error) {
	w.index++
	if c.Component == cluster.RebalanceComponent {
		answer, err := w.p.Apply(w.index, c.Body)
		w.elsewhere()
		return answer, err
	}
	return w.m.Apply(w.index, c.Body)
}

func (w *world) must(c cluster.Command) []byte {
	w.t.Helper()
	answer, err := w.propose(c)
	require.NoError(w.t, err)
	return answer
}

// elsewhere lets another conductor go on, who knows nothing but what the log keeps.
func (w *world) elsewhere() {
	kept, err := w.p.Snapshot()
	require.NoError(w.t, err)
	w.p = &Progress{}
	require.NoError(w.t, w.p.Restore(kept))
}

func (w *world) adopt(text string) error {
	f, err := planfile.Parse([]byte(text), "f.hcl")
	if err != nil {
		return err
	}
	p, err := NewPlan(f, w.m, nil)
	if err != nil {
		return err
	}
	w.must(Coordinator(1).Adopt(w.p.Number, "f.hcl", []byte(text), p))
	w.file = f
	return nil
}

func (w *world) next() Decisions {
	seen := Observations{SinceLastMove: w.file.Limits.Cooldown, RangeValue: w.value,
		IsGone: func(m cluster.MemberID) bool { return w.gone[m] }}
	return w.p.Schedule(w.file, w.m, seen)
}

// act does all that is asked, and tells how much there was.
func (w *world) act() int {
	w.t.Helper()
	out := w.next()
	for _, a := range out.Actions {
		switch a.Kind {
		case ActionStart:
			var id shardmap.MoveID
			require.NoError(w.t, cbor.Unmarshal(w.must(shardmap.Coordinator(1).PlanMove(a.Range, a.From, a.To)), &id))
			w.began = append(w.began, a.Step)
		case ActionRollBack:
			w.must(shardmap.Coordinator(1).RevertMove(a.Move))
		case ActionRecordState:
			w.must(Coordinator(1).RecordState(w.p.Number, a.Step, a.State, a.Move))
		case ActionStop:
			w.must(Coordinator(1).Stop(w.p.Number, a.Reason))
		case ActionSplit:
			w.must(shardmap.Coordinator(1).Split(a.Range, a.SplitKey))
			w.seat()
		case ActionMerge:
			w.must(shardmap.Coordinator(1).Merge(a.Range, a.OtherRange))
		case ActionReplan:
			require.NoError(w.t, w.adopt(string(w.p.Text)))
		}
	}
	return len(out.Actions)
}

// seat has the homes of what was split off take it, and let go of what was merged.
func (w *world) seat() {
	for _, r := range w.m.Ranges {
		if task := cluster.RangeOwnerResource(r.ID); r.Status == shardmap.OwnerAssigned {
			w.held[task] = held{r.Owner, 1}
			w.must(shardmap.ConfirmOwner(r.ID, r.Owner, 1, w.m.Version))
		}
	}
}

// open is the moves that are open.
func (w *world) open() (all []shardmap.Range) {
	for _, r := range w.m.Ranges {
		if r.Move.IsOpen() {
			all = append(all, r)
		}
	}
	return all
}

// goOn takes a move one step further.
func (w *world) goOn(r shardmap.Range) {
	w.t.Helper()
	v, task := r.Move, cluster.RangeOwnerResource(r.ID)
	switch {
	case v.Step < shardmap.StepHandoff:
		w.must(shardmap.Coordinator(1).AdvanceMove(v.ID, v.Step+1))
	case v.Step == shardmap.StepHandoff:
		w.held[task] = held{v.To, w.held[task].epoch + 1}
		w.must(shardmap.SwitchOwner(v.ID, r.ID, v.To, w.held[task].epoch))
	case !v.TargetCleared:
		w.must(shardmap.ClearMove(v.ID, v.To))
	default:
		w.must(shardmap.ClearMove(v.ID, v.From))
	}
}

// inBounds is what has to hold at each moment.
func (w *world) inBounds() {
	w.t.Helper()
	has, moves, zones, value := map[cluster.MemberID]int{}, map[cluster.MemberID]int{}, map[string]int{}, 0.0
	b := w.file.Limits
	for _, r := range w.m.Ranges {
		counts := 0
		if w.first[r.From] { // pieces split off take no room
			counts = 1
		}
		has[r.Owner] += counts
		if v := r.Move; v.IsOpen() {
			other := v.To
			if r.Owner == v.To {
				other = v.From
			}
			has[other] += counts
			moves[v.From]++
			moves[v.To]++
			from, to := w.file.FindMember(v.From).Zone, w.file.FindMember(v.To).Zone
			if zones[from]++; from != to {
				zones[to]++
			}
			if w.value != nil {
				value += w.value(r.ID)
			}
		}
	}
	require.LessOrEqual(w.t, len(w.open()), b.ConcurrentMoves, "moves_at_once")
	for _, m := range w.file.Members {
		require.True(w.t, b.MovesPerMember == 0 || moves[m.ID] <= b.MovesPerMember, "per_member of %s", m.ID)
		require.True(w.t, b.MovesPerZone == 0 || zones[m.Zone] <= b.MovesPerZone, "per_zone of %s", m.Zone)
		if moves[m.ID] > 0 && m.Capacity > 0 {
			out := 0 // a member over its room from the start may let ranges go
			for _, r := range w.open() {
				if r.Move.To == m.ID && w.first[r.From] {
					out++
				}
			}
			require.True(w.t, out == 0 || has[m.ID] <= m.Capacity, "room of %s: %d of %d", m.ID, has[m.ID], m.Capacity)
		}
	}
	require.True(w.t, b.ValueInFlight == 0 || value <= b.ValueInFlight, "value_under_way")
}

// settle goes on until nothing is left to do, the moves in an order by chance.
func (w *world) settle(t *rapid.T) {
	for range 10_000 {
		for w.act() > 0 {
			w.inBounds()
		}
		open := w.open()
		if len(open) == 0 {
			return
		}
		w.goOn(open[rapid.IntRange(0, len(open)-1).Draw(t, "goes on")])
		w.inBounds()
	}
	require.Fail(w.t, "it doesn't end")
}

func (w *world) home(i int) cluster.MemberID { return w.m.Ranges[i].Owner }

var _ tester = (*testing.T)(nil)

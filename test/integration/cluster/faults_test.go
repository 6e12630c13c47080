package cluster

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"rowanlink/test/checker/deliverycheck"
	"rowanlink/test/integration/harness"
)

// Guards against a step of a move that can't be the last one before a stop of more than a term, or before a
// cut: what stood still or was cut off goes on afterwards with what it had, and what was on its way comes
// late.
func TestAStopOrACutAfterEachStepOfAMove(t *testing.T) {
	steps := []string{"move planned", "move warms", "move passes", "home switched", "move cleared"}
	for _, step := range steps {
		for _, how := range []string{"stopped", "cut off"} {
			t.Run(step+", "+how, func(t *testing.T) {
				t.Parallel()
				f := begin(t, harness.Shape{Members: 4, Keepers: 3, Ranges: 8,
					Rates: map[string]float64{"m1": 1.024, "m2": 0.976}})
				slowly(t, f)
				stop := load(f)
				for _, role := range []string{"source", "target", "conductor"} {
					leaver, marks := busiest(f), f.Marks()
					f.Reload(fmt.Sprintf("leave %q {}\n", leaver.Name))
					who := part(f, role, step, leaver, marks)
					t.Logf("%s leaves, %s, %s, is %s", leaver.Name, role, who.Name, how)
					if how == "stopped" {
						who.Stop()
						some(1.6)
						who.Continue()
					} else {
						f.Net.Apart(harness.Cut, who.Name)
						some(1.6)
						f.Net.Heal()
					}
					f.Homed(leaver)
				}
				stop()
				f.Judge(deliverycheck.Order) // a home that is lost keeps what it had to itself for a while
			})
		}
	}
}

// part waits for a step of a move and returns who plays a role in it.
func part(f *harness.Fleet, role, step string, leaver *harness.Member,
	marks map[*harness.Member]int) *harness.Member {
	said := f.AwaitAny(marks, "INFO "+step+" ")
	switch role {
	case "target":
		if line, ok := said.Log.Find(marks[said], "INFO "+step+" ", " to="); ok {
			return f.Member(to.FindStringSubmatch(line.Text)[1])
		}
		return said
	case "conductor":
		return f.AwaitAny(marks, "INFO move planned ")
	}
	return leaver
}

// Guards against a task that two do, and webhooks that two call with, over links that are only bad.
func TestLinksThatAreLateSlowOrResetHalfWay(t *testing.T) {
	t.Parallel()
	f := begin(t, harness.Shape{Members: 4, Keepers: 3, Guarded: []string{errand}, Rates: apart})
	slowly(t, f)
	stop := load(f)
	for name, fault := range map[string]harness.Fault{"late": harness.Late(term / 4), "slow": harness.Slow(4000),
		"half-way": harness.HalfWay(900)} {
		who, _ := holder(f)
		for _, m := range []*harness.Member{who, f.Leader()} {
			f.Net.Apart(fault, m.Name)
			some(1.5)
			f.Net.Heal()
			going(f)
		}
		f.Judge(deliverycheck.Order)
		require.False(t, t.Failed(), name)
	}
	stop()
	f.Judge(deliverycheck.Order)
}

// Guards against a keeper that comes back with nothing and votes, or is never counted again: without it there
// is no majority afterwards.
func TestAKeeperThatComesBackWithoutItsFolder(t *testing.T) {
	t.Parallel()
	f := begin(t, harness.Shape{Members: 4, Keepers: 3, Guarded: []string{errand}})
	stop := load(f)
	was, marks := f.Leader(), f.Marks()
	was.Kill()
	was.Wipe()
	was.Start()
	f.AwaitAny(marks, "raft voter added")
	for _, other := range f.Keepers() {
		if other != was {
			other.Kill()
			f.Leader()
			going(f)
			other.Start()
			break
		}
	}
	stop()
	f.Judge(deliverycheck.Order)
}

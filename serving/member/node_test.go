package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/gossip"
	"rowanlink/serving/membership"
	"rowanlink/serving/state"
)

// sizes are the numbers of members that the simulations are played with.
var sizes = []int{10, 60}

// forSizes plays a story with each size and a few seeds.
func forSizes(t *testing.T, story func(t *testing.T, size int, seed uint64)) {
	for _, size := range sizes {
		seeds := uint64(4)
		if size > 100 {
			seeds = 1
		}
		for seed := range seeds {
			t.Run(fmt.Sprintf("%d members seed %d", size, seed), func(t *testing.T) {
				t.Parallel()
				story(t, size, seed)
			})
		}
	}
}

func TestAllMeetWithinASecond(t *testing.T) {
	forSizes(t, func(t *testing.T, size int, seed uint64) {
		s := newSimulation(t, seed, size, threeZones)
		s.startAll()
		took := s.runUntil(time.Second, "the members meet", s.settled)
		t.Log("met after", took)
	})
}

func TestRecordReachesAllWithinASecond(t *testing.T) {
	forSizes(t, func(t *testing.T, size int, seed uint64) {
		s := started(t, seed, size, threeZones)
		s.lost = 0.05
		for revision := uint64(1); revision <= 5; revision++ {
			s.put(s.nodes[s.random.IntN(size)], revision, 300)
			took := s.runUntil(time.Second, "the record reaches all", s.allKnow(revision))
			t.Log("reached all after", took)
		}
	})
}

func TestLongRecordReachesAll(t *testing.T) {
	s := started(t, 7, 60, threeZones)
	s.countBytes = true
	const size = 100_000
	s.put(s.nodes[5], 1, size)
	s.runUntil(time.Second, "the record reaches all", s.allKnow(1))
	assert.Less(t, s.bytes, 2*60*size, "most members get a long value once")
	assert.Less(t, s.remoteBytes, 5*size, "few copies go to the other region")
}

// cutBetween blocks all between two zones.
func cutBetween(one, other string) func(from, to *simNode) bool {
	return func(from, to *simNode) bool {
		return from.member.Zone == one && to.member.Zone == other ||
			from.member.Zone == other && to.member.Zone == one
	}
}

func TestThirdZoneBridgesCut(t *testing.T) {
	for _, cut := range [][2]string{{"a", "b"}, {"a", "c"}, {"b", "c"}} {
		forSizes(t, func(t *testing.T, size int, seed uint64) {
			s := started(t, seed, size, threeZones)
			s.blocked = cutBetween(cut[0], cut[1])
			for revision := uint64(1); revision <= 6; revision++ {
				origin := s.inZone(cut[0])[int(revision)%3]
				s.put(origin, revision, 300)
				took := s.runUntil(time.Second, "the record gets round the cut", s.allKnow(revision))
				t.Log(cut, "got round after", took)
				s.run(time.Second)
				assert.True(t, s.settled(), "nobody is down")
			}
		})
	}
}

func TestDeadMembersAreSeenEverywhere(t *testing.T) {
	forSizes(t, func(t *testing.T, size int, seed uint64) {
		s := started(t, seed, size, threeZones)
		s.powerOff(s.nodes[4])
		took := s.runUntil(3*time.Second, "one member is down", s.settled)
		t.Log("one seen after", took)
		for _, n := range s.inZone("b") {
			s.powerOff(n)
		}
		took = s.runUntil(4*time.Second, "a zone is down", s.settled)
		t.Log("zone seen after", took)
		for _, n := range s.inZone("a") {
			s.powerOff(n)
		}
		took = s.runUntil(5*time.Second, "the other region is down", s.settled)
		t.Log("region seen after", took)
		for _, n := range s.nodes {
			if !n.running {
				s.start(n)
			}
		}
		took = s.runUntil(2*time.Second, "all are back", s.settled)
		t.Log("back after", took)
	})
}

// TestZoneCutOffSeesTheOthersDown: both sides of a cut see each other down, the smaller one too.
func TestZoneCutOffSeesTheOthersDown(t *testing.T) {
	forSizes(t, func(t *testing.T, size int, seed uint64) {
		s := started(t, seed, size, threeZones)
		s.blocked = func(from, to *simNode) bool {
			return (from.member.Zone == "b") != (to.member.Zone == "b")
		}
		inside, outside := s.inZone("b")[0], s.inZone("a")[0]
		s.runUntil(4*time.Second, "both sides see the other down", func() bool {
			return !sees(inside, outside) && !sees(outside, inside)
		})
	})
}

func TestZoneCutOffComesBack(t *testing.T) {
	forSizes(t, func(t *testing.T, size int, seed uint64) {
		s := started(t, seed, size, threeZones)
		s.blocked = func(from, to *simNode) bool {
			return (from.member.Zone == "b") != (to.member.Zone == "b")
		}
		inside, outside := s.inZone("b")[0], s.inZone("a")[0]
		s.runUntil(4*time.Second, "the majority sees the zone down", func() bool {
			return !slices.ContainsFunc(s.inZone("b"), func(n *simNode) bool { return sees(outside, n) })
		})
		s.run(10 * time.Second)
		assert.True(t, sees(inside, s.inZone("b")[1]), "inside the zone the members see each other")
		s.put(outside, 5, 300)
		s.run(time.Second)
		s.blocked = func(_, _ *simNode) bool { return false }
		took := s.runUntil(2*time.Second, "the record crosses the healed cut", s.allKnow(5))
		t.Log("record crossed after", took)
		took = s.runUntil(3*time.Second, "all see all", s.settled)
		t.Log("settled after further", took)
	})
}

func TestLongCutComesBack(t *testing.T) {
	s := started(t, 3, 10, threeZones)
	s.blocked = func(from, to *simNode) bool { return from.member.Region != to.member.Region }
	s.run(membership.RetentionPeriod + gossip.TombstoneRetention + 10*time.Second)
	_, known := s.inZone("a")[0].node.members.Member(s.inZone("c")[0].member.Name)
	assert.False(t, known, "a member that is long down is forgotten")
	s.blocked = func(_, _ *simNode) bool { return false }
	s.runUntil(8*time.Second, "all see all", s.settled)
}

func TestOneWayCut(t *testing.T) {
	forSizes(t, func(t *testing.T, size int, seed uint64) {
		s := started(t, seed, size, threeZones)
		mute := s.nodes[5]
		s.blocked = func(from, _ *simNode) bool { return from == mute }
		s.runUntil(3*time.Second, "a member that can't be heard is down", func() bool {
			for _, n := range s.nodes {
				if n != mute && sees(n, mute) {
					return false
				}
			}
			return true
		})
		s.blocked = func(_, _ *simNode) bool { return false }
		s.runUntil(3*time.Second, "it comes back", s.settled)
	})
}

func TestFrozenMemberComesBack(t *testing.T) {
	forSizes(t, func(t *testing.T, size int, seed uint64) {
		s := started(t, seed, size, threeZones)
		frozen := s.nodes[4]
		s.freeze(frozen, 4*time.Second)
		s.runUntil(3*time.Second, "it is down", func() bool { return !sees(s.nodes[0], frozen) })
		s.run(frozen.frozenUntil.Sub(s.now))
		took := s.runUntil(3*time.Second, "it is back", s.settled)
		t.Log("back after", took)
		for range 40 {
			s.run(50 * time.Millisecond)
			assert.True(t, s.settled(), "its standstill makes it suspect nobody")
		}
	})
}

func TestAllKilledAtOnceMeetAgain(t *testing.T) {
	forSizes(t, func(t *testing.T, size int, seed uint64) {
		s := started(t, seed, size, threeZones)
		for _, n := range s.nodes {
			s.kill(n)
		}
		s.run(500 * time.Millisecond)
		s.startAll()
		took := s.runUntil(time.Second, "all meet again", s.settled)
		t.Log("met after", took)
	})
}

func TestRestartWithClockThatJumpedBack(t *testing.T) {
	s := started(t, 1, 10, threeZones)
	n := s.nodes[6]
	s.kill(n)
	s.run(100 * time.Millisecond)
	s.startAs(n, 17)
	s.runUntil(time.Second, "the new life is known to all", func() bool {
		self := n.node.members.Self()
		for _, other := range s.nodes {
			if known, ok := other.node.members.Member(self.Name); !ok || known != self || !sees(other, n) {
				return false
			}
		}
		return self.Incarnation > 17
	})
}

func TestQuickRestartIsNeverDown(t *testing.T) {
	s := started(t, 2, 60, threeZones)
	n := s.nodes[9]
	s.kill(n)
	s.run(500 * time.Millisecond)
	s.start(n)
	for range 60 {
		s.run(50 * time.Millisecond)
		for _, other := range s.nodes {
			if other != n {
				assert.False(t, other.node.members.IsDown(n.member.Name))
			}
		}
	}
	assert.True(t, s.settled())
}

func TestLeavingIsFinal(t *testing.T) {
	s := started(t, 2, 10, threeZones)
	n := s.nodes[7]
	n.node.updateSelf(s.now, func(member *state.Member) { member.State = state.MemberLeft })
	s.run(time.Second)
	s.kill(n)
	assert.True(t, s.settled())
	assert.Equal(t, 7, s.nodes[0].node.members.CountRecentlyLive(s.now, state.RoleAgent, time.Minute))
	s.run(2 * time.Minute)
	assert.Equal(t, 6, s.nodes[0].node.members.CountRecentlyLive(s.now, state.RoleAgent, time.Minute))
	_, known := s.nodes[0].node.members.Member(n.member.Name)
	assert.False(t, known)
	for _, other := range s.runningNodes() {
		assert.Equal(t, s.nodes[0].node.engine.Summary(), other.node.engine.Summary())
	}
	s.start(n)
	s.runUntil(time.Second, "a new life is taken in", s.settled)
}

func TestEachLostWayInTurn(t *testing.T) {
	base := started(t, 11, 6, threeZones)
	first := base.callNumber
	base.put(base.nodes[4], 1, 300)
	base.run(time.Second)
	last := base.callNumber
	for lost := first + 1; lost <= last; lost++ {
		s := started(t, 11, 6, threeZones)
		s.loseNumber = lost
		s.put(s.nodes[4], 1, 300)
		s.runUntil(time.Second, fmt.Sprintf("the record reaches all though way %d is lost", lost), s.allKnow(1))
		s.run(3 * time.Second)
		assert.True(t, s.settled(), "one lost way makes nobody down: %d", lost)
	}
}

// TestAMemberThatCameLateForgetsWithTheOthers: it learned of an end later than they did. They must not find a
// difference at each heartbeat until it has waited as long as they have.
func TestAMemberThatCameLateForgetsWithTheOthers(t *testing.T) {
	s := started(t, 5, 10, threeZones)
	gone, left, late := s.nodes[8], s.nodes[7], s.nodes[5]
	s.kill(late)
	s.powerOff(gone)
	left.node.updateSelf(s.now, func(member *state.Member) { member.State = state.MemberLeft })
	s.run(time.Second)
	s.kill(left)
	s.run(gossip.TombstoneRetention - 10*time.Second)
	s.start(late)
	s.run(13 * time.Second)
	for _, n := range s.runningNodes() {
		for _, name := range []string{gone.member.Name, left.member.Name} {
			_, known := n.node.members.Member(name)
			assert.False(t, known, "%s still knows %s", n.member.Name, name)
		}
		assert.Equal(t, s.nodes[0].node.engine.Summary(), n.node.engine.Summary())
	}
}

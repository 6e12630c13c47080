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

// sizes are the numbers of members of the simulations in runForSizes.
var sizes = []int{10, 60}

// runForSizes runs a scenario with each of the sizes and with several seeds, as parallel subtests.
func runForSizes(t *testing.T, scenario func(t *testing.T, size int, seed uint64)) {
	for _, size := range sizes {
		seeds := uint64(4)
		if size > 100 {
			seeds = 1
		}
		for seed := range seeds {
			t.Run(fmt.Sprintf("%d members seed %d", size, seed), func(t *testing.T) {
				t.Parallel()
				scenario(t, size, seed)
			})
		}
	}
}

func TestNode_AllJoinWithinASecond(t *testing.T) {
	runForSizes(t, func(t *testing.T, size int, seed uint64) {
		s := newSimulation(t, seed, size, threeZones)
		s.startAll()
		elapsed := s.runUntil(time.Second, "the members join", s.hasConverged)
		t.Log("joined after", elapsed)
	})
}

func TestNode_RecordReachesAllWithinASecond(t *testing.T) {
	runForSizes(t, func(t *testing.T, size int, seed uint64) {
		s := newConvergedSimulation(t, seed, size, threeZones)
		s.lossRate = 0.05
		for revision := uint64(1); revision <= 5; revision++ {
			s.putRecord(s.nodes[s.random.IntN(size)], revision, 300)
			elapsed := s.runUntil(time.Second, "the record reaches all", s.hasRevisionEverywhere(revision))
			t.Log("reached all after", elapsed)
		}
	})
}

func TestNode_LongRecordReachesAll(t *testing.T) {
	s := newConvergedSimulation(t, 7, 60, threeZones)
	s.countBytes = true
	const size = 100_000
	s.putRecord(s.nodes[5], 1, size)
	s.runUntil(time.Second, "the record reaches all", s.hasRevisionEverywhere(1))
	assert.Less(t, s.bytes, 2*60*size, "most members receive a long value only once")
	assert.Less(t, s.remoteBytes, 5*size, "few copies of a long value are sent to the other region")
}

// partitionBetween blocks all messages between two zones.
func partitionBetween(one, other string) func(from, to *simNode) bool {
	return func(from, to *simNode) bool {
		return from.member.Zone == one && to.member.Zone == other ||
			from.member.Zone == other && to.member.Zone == one
	}
}

func TestNode_ThirdZoneBridgesPartition(t *testing.T) {
	for _, partition := range [][2]string{{"a", "b"}, {"a", "c"}, {"b", "c"}} {
		runForSizes(t, func(t *testing.T, size int, seed uint64) {
			s := newConvergedSimulation(t, seed, size, threeZones)
			s.blocked = partitionBetween(partition[0], partition[1])
			for revision := uint64(1); revision <= 6; revision++ {
				origin := s.inZone(partition[0])[int(revision)%3]
				s.putRecord(origin, revision, 300)
				elapsed := s.runUntil(time.Second, "the record is relayed round the partition", s.hasRevisionEverywhere(revision))
				t.Log(partition, "relayed after", elapsed)
				s.run(time.Second)
				assert.True(t, s.hasConverged(), "no member is down")
			}
		})
	}
}

func TestNode_DeadMembersAreDetectedEverywhere(t *testing.T) {
	runForSizes(t, func(t *testing.T, size int, seed uint64) {
		s := newConvergedSimulation(t, seed, size, threeZones)
		s.powerOff(s.nodes[4])
		elapsed := s.runUntil(3*time.Second, "one member is down", s.hasConverged)
		t.Log("one member down after", elapsed)
		for _, n := range s.inZone("b") {
			s.powerOff(n)
		}
		elapsed = s.runUntil(4*time.Second, "a zone is down", s.hasConverged)
		t.Log("zone down after", elapsed)
		for _, n := range s.inZone("a") {
			s.powerOff(n)
		}
		elapsed = s.runUntil(5*time.Second, "the other region is down", s.hasConverged)
		t.Log("region down after", elapsed)
		for _, n := range s.nodes {
			if !n.running {
				s.start(n)
			}
		}
		elapsed = s.runUntil(2*time.Second, "all have rejoined", s.hasConverged)
		t.Log("rejoined after", elapsed)
	})
}

// TestNode_PartitionedZoneMarksOthersDown checks that both sides of a partition mark each other's members as down, including
// the smaller side.
func TestNode_PartitionedZoneMarksOthersDown(t *testing.T) {
	runForSizes(t, func(t *testing.T, size int, seed uint64) {
		s := newConvergedSimulation(t, seed, size, threeZones)
		s.blocked = func(from, to *simNode) bool {
			return (from.member.Zone == "b") != (to.member.Zone == "b")
		}
		inside, outside := s.inZone("b")[0], s.inZone("a")[0]
		s.runUntil(4*time.Second, "both sides mark the other as down", func() bool {
			return !isSeenLive(inside, outside) && !isSeenLive(outside, inside)
		})
	})
}

func TestNode_PartitionedZoneRejoins(t *testing.T) {
	runForSizes(t, func(t *testing.T, size int, seed uint64) {
		s := newConvergedSimulation(t, seed, size, threeZones)
		s.blocked = func(from, to *simNode) bool {
			return (from.member.Zone == "b") != (to.member.Zone == "b")
		}
		inside, outside := s.inZone("b")[0], s.inZone("a")[0]
		s.runUntil(4*time.Second, "the majority marks the zone as down", func() bool {
			return !slices.ContainsFunc(s.inZone("b"), func(n *simNode) bool { return isSeenLive(outside, n) })
		})
		s.run(10 * time.Second)
		assert.True(t, isSeenLive(inside, s.inZone("b")[1]), "members of the partitioned zone still see each other as live")
		s.putRecord(outside, 5, 300)
		s.run(time.Second)
		s.blocked = func(_, _ *simNode) bool { return false }
		elapsed := s.runUntil(2*time.Second, "the record crosses the healed partition", s.hasRevisionEverywhere(5))
		t.Log("record crossed after", elapsed)
		elapsed = s.runUntil(3*time.Second, "all members see each other as live", s.hasConverged)
		t.Log("converged after further", elapsed)
	})
}

func TestNode_RejoinsAfterLongPartition(t *testing.T) {
	s := newConvergedSimulation(t, 3, 10, threeZones)
	s.blocked = func(from, to *simNode) bool { return from.member.Region != to.member.Region }
	s.run(membership.RetentionPeriod + gossip.TombstoneRetention + 10*time.Second)
	_, known := s.inZone("a")[0].node.members.Member(s.inZone("c")[0].member.Name)
	assert.False(t, known, "a member that has long been down is removed")
	s.blocked = func(_, _ *simNode) bool { return false }
	s.runUntil(8*time.Second, "all members see each other as live", s.hasConverged)
}

// TestNode_LoneMemberFindsAllAgainSoon partitions a zone with a single member from all others, which that member marks as
// down. After the partition has healed it must see all of them as live again sooner than one call in each downProbeInterval
// would allow.
func TestNode_LoneMemberFindsAllAgainSoon(t *testing.T) {
	locations := []location{{"b", "west"}}
	for range 15 {
		locations = append(locations, location{"a", "west"}, location{"c", "east"})
	}
	s := newConvergedSimulation(t, 3, len(locations), locations)
	lone := s.nodes[0]
	s.blocked = func(from, to *simNode) bool { return from == lone || to == lone }
	s.run(20 * time.Second)
	assert.Len(t, lone.node.members.LiveMembers(), 1)
	s.blocked = func(_, _ *simNode) bool { return false }
	elapsed := s.runUntil(3*time.Second, "all members see each other as live", s.hasConverged)
	t.Log("converged after", elapsed)
}

func TestNode_OneWayPartition(t *testing.T) {
	runForSizes(t, func(t *testing.T, size int, seed uint64) {
		s := newConvergedSimulation(t, seed, size, threeZones)
		muted := s.nodes[5]
		s.blocked = func(from, _ *simNode) bool { return from == muted }
		s.runUntil(3*time.Second, "a member that can't send is down", func() bool {
			for _, n := range s.nodes {
				if n != muted && isSeenLive(n, muted) {
					return false
				}
			}
			return true
		})
		s.blocked = func(_, _ *simNode) bool { return false }
		s.runUntil(3*time.Second, "the member rejoins", s.hasConverged)
	})
}

func TestNode_FrozenMemberRejoins(t *testing.T) {
	runForSizes(t, func(t *testing.T, size int, seed uint64) {
		s := newConvergedSimulation(t, seed, size, threeZones)
		frozen := s.nodes[4]
		s.freeze(frozen, 4*time.Second)
		s.runUntil(3*time.Second, "the frozen member is down", func() bool { return !isSeenLive(s.nodes[0], frozen) })
		s.run(frozen.frozenUntil.Sub(s.now))
		elapsed := s.runUntil(3*time.Second, "the frozen member has rejoined", s.hasConverged)
		t.Log("rejoined after", elapsed)
		for range 40 {
			s.run(50 * time.Millisecond)
			assert.True(t, s.hasConverged(), "the frozen member must not mark others as down after it resumes")
		}
	})
}

func TestNode_AllKilledAtOnceRejoin(t *testing.T) {
	runForSizes(t, func(t *testing.T, size int, seed uint64) {
		s := newConvergedSimulation(t, seed, size, threeZones)
		for _, n := range s.nodes {
			s.kill(n)
		}
		s.run(500 * time.Millisecond)
		s.startAll()
		elapsed := s.runUntil(time.Second, "all rejoin", s.hasConverged)
		t.Log("joined after", elapsed)
	})
}

func TestNode_RestartAfterClockJumpedBack(t *testing.T) {
	s := newConvergedSimulation(t, 1, 10, threeZones)
	n := s.nodes[6]
	s.kill(n)
	s.run(100 * time.Millisecond)
	s.startAs(n, 17)
	s.runUntil(time.Second, "the new incarnation is known to all", func() bool {
		self := n.node.members.Self()
		for _, other := range s.nodes {
			if known, ok := other.node.members.Member(self.Name); !ok || known != self || !isSeenLive(other, n) {
				return false
			}
		}
		return self.Incarnation > 17
	})
}

func TestNode_QuickRestartIsNeverDown(t *testing.T) {
	s := newConvergedSimulation(t, 2, 60, threeZones)
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
	assert.True(t, s.hasConverged())
}

func TestNode_LeavingIsFinal(t *testing.T) {
	s := newConvergedSimulation(t, 2, 10, threeZones)
	n := s.nodes[7]
	n.node.updateSelf(s.now, func(member *state.Member) { member.State = state.MemberLeft })
	s.run(time.Second)
	s.kill(n)
	assert.True(t, s.hasConverged())
	assert.Equal(t, 7, s.nodes[0].node.members.CountRecentlyLive(s.now, state.RoleAgent, time.Minute))
	s.run(2 * time.Minute)
	assert.Equal(t, 6, s.nodes[0].node.members.CountRecentlyLive(s.now, state.RoleAgent, time.Minute))
	_, known := s.nodes[0].node.members.Member(n.member.Name)
	assert.False(t, known)
	for _, other := range s.runningNodes() {
		assert.Equal(t, s.nodes[0].node.engine.Summary(), other.node.engine.Summary())
	}
	s.start(n)
	s.runUntil(time.Second, "a new incarnation is accepted", s.hasConverged)
}

func TestNode_AnyMessageLost(t *testing.T) {
	base := newConvergedSimulation(t, 11, 6, threeZones)
	first := base.messageNumber
	base.putRecord(base.nodes[4], 1, 300)
	base.run(time.Second)
	last := base.messageNumber
	for lost := first + 1; lost <= last; lost++ {
		s := newConvergedSimulation(t, 11, 6, threeZones)
		s.lostMessage = lost
		s.putRecord(s.nodes[4], 1, 300)
		what := fmt.Sprintf("the record reaches all though message %d is lost", lost)
		s.runUntil(time.Second, what, s.hasRevisionEverywhere(1))
		s.run(3 * time.Second)
		assert.True(t, s.hasConverged(), "no member is marked as down after message %d was lost", lost)
	}
}

// TestNode_LateMemberExpiresWithOthers checks a member that learns of departures later than its peers, since it wasn't
// running. It must remove the departed members when its peers do: if it retained them as long as they did, counted from its
// start, each heartbeat until then would find a difference.
func TestNode_LateMemberExpiresWithOthers(t *testing.T) {
	s := newConvergedSimulation(t, 5, 10, threeZones)
	dead := s.nodes[8]
	left := s.nodes[7]
	late := s.nodes[5]
	s.kill(late)
	s.powerOff(dead)
	left.node.updateSelf(s.now, func(member *state.Member) { member.State = state.MemberLeft })
	s.run(time.Second)
	s.kill(left)
	s.run(gossip.TombstoneRetention - 10*time.Second)
	s.start(late)
	s.run(13 * time.Second)
	for _, n := range s.runningNodes() {
		for _, name := range []string{dead.member.Name, left.member.Name} {
			_, known := n.node.members.Member(name)
			assert.False(t, known, "%s still knows %s", n.member.Name, name)
		}
		assert.Equal(t, s.nodes[0].node.engine.Summary(), n.node.engine.Summary())
	}
}

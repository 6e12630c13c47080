package chaos

import (
	"fmt"
	"time"

	"rowanlink/test/fake/platform"
	"rowanlink/test/integration/harness"
)

// fault is a fault of a cluster. It chooses the members that it affects.
type fault struct {
	name  string
	start func(s *scenario) (end func()) // end is nil if the fault ends by itself
}

// faults are the faults that scenarios choose from.
var faults = []fault{
	{"kill a member", kill},
	{"kill the leader", killLeader},
	{"kill a member and delete its state", killAndDeleteState},
	{"planned restart", terminate},
	{"pause a member", pause},
	{"pause the leader", pauseLeader},
	{"SIGHUP", hangup},
	{"disk full", fillDisk},
	{"drain a member by the plan", drain},
	{"pin a destination and drain a member", pinAndDrain},
	{"partition a member", partition},
	{"partition the leader", partitionLeader},
	{"partition a majority of the raft nodes", partitionMajority},
	{"one-way partition", partitionOneWay},
	{"refuse connections", refuseConnections},
	{"delay", delay},
	{"throttle", throttle},
	{"reset connections", resetConnections},
	{"destination hangs", setBehaviour(platform.Hangs)},
	{"destination refuses", setBehaviour(platform.Refuses)},
	{"destination is unreachable", setBehaviour(platform.Unreachable)},
	{"destination's responses are lost", setBehaviour(platform.ResponseLost)},
	{"destination sends Retry-After", setBehaviour(platform.RateLimited(1200 * time.Millisecond))},
	{"destination is slow", setBehaviour(platform.Slow(700 * time.Millisecond))},
	{"destination outage", destinationOutage},
	{"endpoint drains", drainEndpoint},
	{"discovery is muted", muteDiscovery},
}

func kill(s *scenario) func() {
	m := s.randomMember()
	m.Kill()
	return m.StartAsync
}

func killLeader(s *scenario) func() {
	m := s.leaderOrRandom()
	m.Kill()
	return m.StartAsync
}

func killAndDeleteState(s *scenario) func() {
	m := s.randomMember()
	m.Kill()
	m.DeleteState()
	return m.StartAsync
}

func terminate(s *scenario) func() {
	m := s.randomMember()
	m.Terminate()
	return m.StartAsync
}

func pause(s *scenario) func() {
	m := s.randomMember()
	m.Pause()
	return m.Resume
}

func pauseLeader(s *scenario) func() {
	m := s.leaderOrRandom()
	m.Pause()
	return m.Resume
}

func hangup(s *scenario) func() {
	s.randomMember().SendHangup()
	return nil
}

func fillDisk(s *scenario) func() {
	m := s.randomMember()
	m.LimitFileSize(uint64(m.LargestFile()))
	return func() { m.LimitFileSize(0) }
}

func drain(s *scenario) func() {
	member := s.randomMember().Name
	s.ReloadOperatorFiles(fmt.Sprintf("leave %q {}\nbounds { moves_at_once = %d }\n", member, 1+s.IntN(4)))
	return func() { s.ReloadOperatorFiles("") }
}

func pinAndDrain(s *scenario) func() {
	target, drained := s.randomPair()
	s.ReloadOperatorFiles(fmt.Sprintf("pin \"first\" {\n  destinations = [%d]\n  to = %q\n}\nleave %q {}\n",
		s.randomDestination(), target.Name, drained.Name))
	return func() { s.ReloadOperatorFiles("") }
}

func partition(s *scenario) func() {
	s.Network.Isolate(harness.Partition, s.randomMember().Name)
	return s.Network.Heal
}

func partitionLeader(s *scenario) func() {
	s.Network.Isolate(harness.Partition, s.leaderOrRandom().Name)
	return s.Network.Heal
}

func partitionMajority(s *scenario) func() {
	for _, m := range s.RaftNodes()[1:] {
		s.Network.Isolate(harness.Partition, m.Name)
	}
	return s.Network.Heal
}

func partitionOneWay(s *scenario) func() {
	a, b := s.randomPair()
	s.Network.SetFault(a.Name, b.Name, harness.OneWayPartition)
	return s.Network.Heal
}

func refuseConnections(s *scenario) func() {
	a, b := s.randomPair()
	s.Network.SetFaultBetween(a.Name, b.Name, harness.Refused)
	return s.Network.Heal
}

func delay(s *scenario) func() {
	by := time.Duration(s.IntN(int(s.leaseTTL)))
	s.Network.Isolate(harness.Delayed(by), s.randomMember().Name)
	return s.Network.Heal
}

func throttle(s *scenario) func() {
	bytesPerSecond := 200 + s.IntN(20000)
	s.Network.Isolate(harness.Throttled(bytesPerSecond), s.randomMember().Name)
	return s.Network.Heal
}

func resetConnections(s *scenario) func() {
	a, b := s.randomPair()
	s.Network.SetFaultBetween(a.Name, b.Name, harness.ResetAfterBytes(1+s.IntN(4000)))
	return s.Network.Heal
}

// setBehaviour returns the fault of a random destination that behaves in some way.
func setBehaviour(b platform.Behaviour) func(s *scenario) func() {
	return func(s *scenario) func() {
		d := s.Platform.Destination(s.randomDestination())
		s.requireNoError(d.SetBehaviour(b))
		return func() { s.requireNoError(d.SetBehaviour(platform.Delivers)) }
	}
}

func destinationOutage(s *scenario) func() {
	const callsPerSecond = 100
	d := s.Platform.Destination(s.randomDestination())
	s.requireNoError(d.BeginOutage(platform.Unavailable))
	return func() { s.requireNoError(d.EndOutage(callsPerSecond)) }
}

func drainEndpoint(s *scenario) func() {
	e := s.Platform.Endpoints(s.randomDestination())[0]
	s.Platform.Drain(e)
	return func() { s.Platform.Relist(e) }
}

func muteDiscovery(s *scenario) func() {
	view, err := s.Platform.View(s.randomMember().Name)
	s.requireNoError(err)
	view.MuteDiscovery(true)
	return func() { view.MuteDiscovery(false) }
}

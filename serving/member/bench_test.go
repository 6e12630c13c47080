package member

import (
	"fmt"
	"testing"
	"time"

	"rowanlink/serving/gossip"
)

// BenchmarkQuietSecond simulates seconds in which nothing changes in a large system, and reports what one member sends in
// a second.
func BenchmarkQuietSecond(b *testing.B) {
	const members, endpoints = 410, 600
	s := newConvergedSimulation(b, 1, members, threeZones)
	for i := range endpoints {
		s.nodes[i%members].node.putLocal(s.now, gossip.Entry{Table: gossip.TableEndpoints,
			Key: fmt.Sprintf("endpoint-%d", i), Version: gossip.NewVersion(1, 0), Value: make([]byte, 200)})
	}
	s.run(10 * time.Second)
	s.countBytes = true
	s.bytes = 0
	s.remoteBytes = 0
	s.calls = 0
	seconds := 0
	for b.Loop() {
		s.run(time.Second)
		seconds++
	}
	perMember := float64(seconds * members)
	b.ReportMetric(float64(s.calls)/perMember, "calls/member/s")
	b.ReportMetric(float64(s.bytes)/perMember, "bytes/member/s")
	b.ReportMetric(float64(s.remoteBytes)/perMember, "remote-bytes/member/s")
}

// BenchmarkBusySecond simulates seconds with twenty updates of endpoints each in the same system.
func BenchmarkBusySecond(b *testing.B) {
	const members, updates = 410, 20
	s := newConvergedSimulation(b, 1, members, threeZones)
	s.countBytes = true
	s.bytes = 0
	s.remoteBytes = 0
	s.calls = 0
	seconds := 0
	for b.Loop() {
		for i := range updates {
			s.nodes[i%3].node.putLocal(s.now, gossip.Entry{Table: gossip.TableEndpoints,
				Key: fmt.Sprintf("endpoint-%d", i), Version: gossip.NewVersion(uint64(seconds+1), 0),
				Value: make([]byte, 200)})
			s.run(time.Second / updates)
		}
		seconds++
	}
	perMember := float64(seconds * members)
	b.ReportMetric(float64(s.calls)/perMember, "calls/member/s")
	b.ReportMetric(float64(s.bytes)/perMember, "bytes/member/s")
	b.ReportMetric(float64(s.remoteBytes)/perMember, "remote-bytes/member/s")
}

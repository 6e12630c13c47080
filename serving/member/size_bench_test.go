package member

import (
	"fmt"
	"testing"
	"time"

	"rowanlink/serving/gossip"
)

// BenchmarkBySize simulates seconds in which nothing changes, and seconds with one change of a record of 8 KB, in systems
// of several sizes. The traffic of one member must not grow with the number of members.
func BenchmarkBySize(b *testing.B) {
	for _, members := range []int{30, 100, 300, 410} {
		for _, record := range []int{0, 8 << 10} {
			b.Run(fmt.Sprintf("members=%d/record=%d", members, record), func(b *testing.B) {
				benchmarkSize(b, members, record)
			})
		}
	}
}

// benchmarkSize simulates a number of members and changes of a record, given its size in bytes; zero: without changes.
func benchmarkSize(b *testing.B, members, record int) {
	s := newConvergedSimulation(b, 1, members, threeZones)
	s.run(10 * time.Second)
	s.countBytes = true
	s.bytes = 0
	s.remoteBytes = 0
	s.calls = 0
	seconds := 0
	for b.Loop() {
		seconds++
		if record > 0 {
			s.nodes[0].node.putLocal(s.now, gossip.Entry{Table: gossip.TableRecord, Key: gossip.RecordKey,
				Version: gossip.NewVersion(uint64(seconds), 0), Value: make([]byte, record)})
		}
		s.run(time.Second)
	}
	perMember := float64(seconds * members)
	b.ReportMetric(float64(s.calls)/perMember, "calls/member/s")
	b.ReportMetric(float64(s.bytes)/perMember, "bytes/member/s")
	b.ReportMetric(float64(s.remoteBytes)/perMember, "remote-bytes/member/s")
	b.ReportMetric(float64(b.Elapsed())/perMember, "ns/member/s")
}

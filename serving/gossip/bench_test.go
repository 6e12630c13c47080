package gossip

import (
	"fmt"
	"testing"
	"time"
)

// newLargeEngine returns an engine with 600 members and 600 endpoints.
func newLargeEngine() *Engine {
	e := newTestEngine(600)
	for i := range 600 {
		e.PutLocal(startTime, endpointEntry(fmt.Sprintf("endpoint-%d", i), 1))
		e.PutLocal(startTime, Entry{Table: TableMembers, Key: fmt.Sprintf("member-%d", i), Version: NewVersion(1, 1),
			Value: make([]byte, 120)})
	}
	e.TakeOutgoing(startTime.Add(time.Second))
	return e
}

func BenchmarkSummary(b *testing.B) {
	e := newLargeEngine()
	for b.Loop() {
		e.Summary()
	}
}

func BenchmarkReceiveAndForward(b *testing.B) {
	e := newLargeEngine()
	now, version := startTime.Add(time.Minute), uint64(1)
	for b.Loop() {
		version++
		now = now.Add(200 * time.Millisecond)
		e.Receive(now, Message{From: "m1", Entries: []Entry{endpointEntry("endpoint-7", version)}})
		e.TakeOutgoing(now.Add(150 * time.Millisecond))
	}
}

func BenchmarkCompareOneDifference(b *testing.B) {
	one, other := newLargeEngine(), newLargeEngine()
	other.PutLocal(startTime, endpointEntry("endpoint-9", 2))
	for b.Loop() {
		one.CompareBuckets(other.ListDifferingBuckets(one.Digest(one.DifferingTables(other.Summary()))))
	}
}

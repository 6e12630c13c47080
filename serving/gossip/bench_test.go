package gossip

import (
	"fmt"
	"testing"
	"time"
)

// largeEngine knows 600 members and 600 endpoints.
func largeEngine() *Engine {
	e := testEngine(600)
	for i := range 600 {
		e.PutLocal(begun, endpointEntry(fmt.Sprintf("endpoint-%d", i), 1))
		e.PutLocal(begun, Entry{Table: TableMembers, Key: fmt.Sprintf("member-%d", i), Version: NewVersion(1, 1),
			Value: make([]byte, 120)})
	}
	e.TakeOutgoing(begun.Add(time.Second))
	return e
}

func BenchmarkSummary(b *testing.B) {
	e := largeEngine()
	for b.Loop() {
		e.Summary()
	}
}

func BenchmarkReceiveAndPassOn(b *testing.B) {
	e := largeEngine()
	now, version := begun.Add(time.Minute), uint64(1)
	for b.Loop() {
		version++
		now = now.Add(200 * time.Millisecond)
		e.Receive(now, Message{From: "m1", Entries: []Entry{endpointEntry("endpoint-7", version)}})
		e.TakeOutgoing(now.Add(150 * time.Millisecond))
	}
}

func BenchmarkCompareOneDifference(b *testing.B) {
	one, other := largeEngine(), largeEngine()
	other.PutLocal(begun, endpointEntry("endpoint-9", 2))
	for b.Loop() {
		one.CompareBuckets(other.ListDifferingBuckets(one.Digest(one.DifferingTables(other.Summary()))))
	}
}

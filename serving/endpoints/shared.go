package endpoints

import (
	"time"

	"rowanlink/serving/actor"
	"rowanlink/serving/state"
)

// SharedTable makes a Table safe for concurrent use: a goroutine of its own runs all calls one after the other and
// reads the clock. After Stop all calls return zero values and false.
type SharedTable struct {
	table *actor.Actor[Table]
	clock func() time.Time
}

// Start returns a running table. The clock is time.Now outside tests.
func Start(options Options, clock func() time.Time) *SharedTable {
	return &SharedTable{
		table: actor.Start(NewTable(options)),
		clock: clock,
	}
}

// Stop ends the table's goroutine.
func (s *SharedTable) Stop() { s.table.Stop() }

// callResult is the result of ReceiveHeartbeat and Deregister.
type callResult struct {
	endpoint state.Endpoint
	change   Change
}

// ReceiveHeartbeat is Table.ReceiveHeartbeat.
func (s *SharedTable) ReceiveHeartbeat(id string, heartbeat Heartbeat) (state.Endpoint, Change, bool) {
	result, ok := actor.Call(s.table, func(t *Table) callResult {
		endpoint, change := t.ReceiveHeartbeat(s.clock(), id, heartbeat)
		return callResult{endpoint: endpoint, change: change}
	})
	return result.endpoint, result.change, ok
}

// Deregister is Table.Deregister.
func (s *SharedTable) Deregister(id string) (state.Endpoint, Change, bool) {
	result, ok := actor.Call(s.table, func(t *Table) callResult {
		endpoint, change := t.Deregister(s.clock(), id)
		return callResult{endpoint: endpoint, change: change}
	})
	return result.endpoint, result.change, ok
}

// successorResult is the result of ResolveSuccessor.
type successorResult struct {
	endpoint   state.Endpoint
	registered bool
}

// ResolveSuccessor is Table.ResolveSuccessor.
func (s *SharedTable) ResolveSuccessor(id string, confirmed bool, warmupLeft time.Duration) (state.Endpoint, bool) {
	result, _ := actor.Call(s.table, func(t *Table) successorResult {
		endpoint, registered := t.ResolveSuccessor(s.clock(), id, confirmed, warmupLeft)
		return successorResult{endpoint: endpoint, registered: registered}
	})
	return result.endpoint, result.registered
}

// observationResult is the result of RecordObservation.
type observationResult struct {
	endpoint state.Endpoint
	ejected  bool
}

// RecordObservation is Table.RecordObservation.
func (s *SharedTable) RecordObservation(observer string,
	observation state.Observation) (endpoint state.Endpoint, ejected, ok bool) {
	result, ok := actor.Call(s.table, func(t *Table) observationResult {
		endpoint, ejected := t.RecordObservation(s.clock(), observer, observation)
		return observationResult{endpoint: endpoint, ejected: ejected}
	})
	return result.endpoint, result.ejected, ok
}

// MarkReplicated is Table.MarkReplicated. It doesn't wait until the call has run.
func (s *SharedTable) MarkReplicated(stored state.Endpoint) {
	s.table.Send(func(t *Table) { t.MarkReplicated(stored) })
}

// Merge is Table.Merge. It doesn't wait until the call has run. If the update was newer than the known state and
// onNewer isn't nil, the table's goroutine calls onNewer.
func (s *SharedTable) Merge(update state.Endpoint, onNewer func()) {
	s.table.Send(func(t *Table) {
		if t.Merge(s.clock(), update) && onNewer != nil {
			onNewer()
		}
	})
}

// Restore is Table.Restore.
func (s *SharedTable) Restore(saved state.Endpoint) bool {
	restored, _ := actor.Call(s.table, func(t *Table) bool { return t.Restore(s.clock(), saved) })
	return restored
}

// Sweep is Table.Sweep.
func (s *SharedTable) Sweep() []state.Endpoint {
	list, _ := actor.Call(s.table, func(t *Table) []state.Endpoint { return t.Sweep(s.clock()) })
	return list
}

// Live is Table.Live.
func (s *SharedTable) Live() []state.Endpoint {
	list, _ := actor.Call(s.table, func(t *Table) []state.Endpoint { return t.Live(s.clock()) })
	return list
}

// ChangesSince is Table.ChangesSince.
func (s *SharedTable) ChangesSince(since uint64) (Delta, bool) {
	return actor.Call(s.table, func(t *Table) Delta { return t.ChangesSince(s.clock(), since) })
}

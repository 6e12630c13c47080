package endpoints

import (
	"time"

	"rowanlink/serving/actor"
	"rowanlink/serving/state"
)

// SharedTable runs a table in a goroutine of its own and gives it the time. It is safe for use by several goroutines.
// After Stop all calls return zero values and false.
type SharedTable struct {
	table *actor.Actor[Table]
	clock func() time.Time
}

// Start makes a table and its owner. The clock is time.Now outside tests.
func Start(options Options, clock func() time.Time) *SharedTable {
	return &SharedTable{table: actor.Start(NewTable(options)), clock: clock}
}

// Stop ends the goroutine.
func (o *SharedTable) Stop() { o.table.Stop() }

// heartbeatResult is what a call of an endpoint returns.
type heartbeatResult struct {
	endpoint state.Endpoint
	change   Change
}

// ReceiveHeartbeat is Table.Beat.
func (o *SharedTable) ReceiveHeartbeat(id string, beat Heartbeat) (state.Endpoint, Change, bool) {
	result, ok := actor.Call(o.table, func(t *Table) heartbeatResult {
		endpoint, change := t.ReceiveHeartbeat(o.clock(), id, beat)
		return heartbeatResult{endpoint, change}
	})
	return result.endpoint, result.change, ok
}

// Deregister is Table.Deregister.
func (o *SharedTable) Deregister(id string) (state.Endpoint, Change, bool) {
	result, ok := actor.Call(o.table, func(t *Table) heartbeatResult {
		endpoint, change := t.Deregister(o.clock(), id)
		return heartbeatResult{endpoint, change}
	})
	return result.endpoint, result.change, ok
}

// observationResult is what an observation returns.
type observationResult struct {
	endpoint state.Endpoint
	marked   bool
}

// RecordObservation is Table.RecordObservation.
func (o *SharedTable) RecordObservation(observer string, told state.Observation) (state.Endpoint, bool, bool) {
	result, ok := actor.Call(o.table, func(t *Table) observationResult {
		endpoint, news := t.RecordObservation(o.clock(), observer, told)
		return observationResult{endpoint: endpoint, marked: news}
	})
	return result.endpoint, result.marked, ok
}

// MarkReplicated is Table.MarkReplicated. It doesn't wait.
func (o *SharedTable) MarkReplicated(held state.Endpoint) {
	o.table.Send(func(t *Table) { t.MarkReplicated(held) })
}

// Merge is Table.Merge. It doesn't wait; news, where not nil, is called by the owner's goroutine if there was news.
func (o *SharedTable) Merge(told state.Endpoint, news func()) {
	o.table.Send(func(t *Table) {
		if t.Merge(o.clock(), told) && news != nil {
			news()
		}
	})
}

// Restore is Table.Restore.
func (o *SharedTable) Restore(kept state.Endpoint) bool {
	taken, _ := actor.Call(o.table, func(t *Table) bool { return t.Restore(o.clock(), kept) })
	return taken
}

// Sweep is Table.Sweep.
func (o *SharedTable) Sweep() []state.Endpoint {
	list, _ := actor.Call(o.table, func(t *Table) []state.Endpoint { return t.Sweep(o.clock()) })
	return list
}

// Live is Table.Live.
func (o *SharedTable) Live() []state.Endpoint {
	list, _ := actor.Call(o.table, func(t *Table) []state.Endpoint { return t.Live(o.clock()) })
	return list
}

// Delta is what Table.Changes returns.
type Delta struct {
	Changed  []state.Endpoint
	Removed  []string
	Position uint64
	Complete bool
}

// ChangesSince is Table.ChangesSince.
func (o *SharedTable) ChangesSince(since uint64) (Delta, bool) {
	return actor.Call(o.table, func(t *Table) (delta Delta) {
		delta.Changed, delta.Removed, delta.Position, delta.Complete = t.ChangesSince(o.clock(), since)
		return delta
	})
}

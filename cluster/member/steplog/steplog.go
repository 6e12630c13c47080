// Package steplog logs those steps of moves whose proposals had an unknown outcome: a step is logged once the shard map
// shows that it was taken. So operators see each step of a move exactly once in the log, whether or not its proposal
// was answered.
package steplog

import (
	"log/slog"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
)

// Unconfirmed holds the steps that may or may not have been taken, at most one for each range. The zero value is empty.
// It is not safe for concurrent use.
type Unconfirmed struct{ byRange map[cluster.RangeID]step }

// step is a proposed step that may have been taken.
type step struct {
	event   string
	fields  []any
	isTaken func(shardmap.Range) bool
}

// Add adds a step that may have been taken. isTaken reports whether the range, as the map has it, shows the step as
// taken. event and fields are what Confirm logs.
func (u *Unconfirmed) Add(id cluster.RangeID, event string, isTaken func(shardmap.Range) bool, fields ...any) {
	if u.byRange == nil {
		u.byRange = map[cluster.RangeID]step{}
	}
	u.byRange[id] = step{event: event, fields: fields, isTaken: isTaken}
}

// Drop removes the step of a range without logging it. It is called when a later proposal for the range has a known
// outcome.
func (u *Unconfirmed) Drop(id cluster.RangeID) { delete(u.byRange, id) }

// Confirm logs and removes the step of a range if the range, as the map has it, shows the step as taken.
func (u *Unconfirmed) Confirm(r shardmap.Range) {
	pending, exists := u.byRange[r.ID]
	if !exists || !pending.isTaken(r) {
		return
	}
	slog.Info(pending.event, pending.fields...)
	u.Drop(r.ID)
}

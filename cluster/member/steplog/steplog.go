// Package steplog logs the steps of moves whose proposals had an unknown outcome, once the shard map shows that they
// were taken. Operators see each step of a move once, whichever way the member learned of it.
package steplog

import (
	"log/slog"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
)

// Unconfirmed holds the steps that may or may not have been taken, at most one for each range. The zero value is empty.
// It is not safe for concurrent use.
type Unconfirmed struct{ byRange map[cluster.RangeID]step }

type step struct {
	event   string
	fields  []any
	isTaken func(shardmap.Range) bool
}

// Add adds a step that may have been taken; isTaken decides that by the range as the map has it.
func (u *Unconfirmed) Add(id cluster.RangeID, event string, isTaken func(shardmap.Range) bool, fields ...any) {
	if u.byRange == nil {
		u.byRange = map[cluster.RangeID]step{}
	}
	u.byRange[id] = step{event: event, fields: fields, isTaken: isTaken}
}

// Drop drops the step of a range, since a later proposal has a known outcome.
func (u *Unconfirmed) Drop(id cluster.RangeID) { delete(u.byRange, id) }

// Confirm logs the step of a range if the map has it as taken.
func (u *Unconfirmed) Confirm(r shardmap.Range) {
	pending, exists := u.byRange[r.ID]
	if !exists || !pending.isTaken(r) {
		return
	}
	slog.Info(pending.event, pending.fields...)
	u.Drop(r.ID)
}

package endpoints

import (
	"time"

	"rowanlink/serving/actor"
	"rowanlink/serving/state"
)

// Owner runs a table in a goroutine of its own and gives it the time. It is safe for use by several goroutines.
// After Stop all calls return zero values and false.
type Owner struct {
	table *actor.Actor[Table]
	clock func() time.Time
}

// Start makes a table and its owner. The clock is time.Now outside tests.
func Start(options Options, clock func() time.Time) *Owner {
	return &Owner{table: actor.Start(NewTable(options)), clock: clock}
}

// Stop ends the goroutine.
func (o *Owner) Stop() { o.table.Stop() }

// called is what a call of an endpoint returns.
type called struct {
	endpoint state.Endpoint
	change   Change
}

// Beat is Table.Beat.
func (o *Owner) Beat(id string, beat Beat) (state.Endpoint, Change, bool) {
	result, ok := actor.Call(o.table, func(t *Table) called {
		endpoint, change := t.Beat(o.clock(), id, beat)
		return called{endpoint, change}
	})
	return result.endpoint, result.change, ok
}

// SignOff is Table.SignOff.
func (o *Owner) SignOff(id string) (state.Endpoint, Change, bool) {
	result, ok := actor.Call(o.table, func(t *Table) called {
		endpoint, change := t.SignOff(o.clock(), id)
		return called{endpoint, change}
	})
	return result.endpoint, result.change, ok
}

// marked is what an observation returns.
type marked struct {
	endpoint state.Endpoint
	marked   bool
}

// Observe is Table.Observe.
func (o *Owner) Observe(observer string, told state.Observation) (state.Endpoint, bool, bool) {
	result, ok := actor.Call(o.table, func(t *Table) marked {
		endpoint, news := t.Observe(o.clock(), observer, told)
		return marked{endpoint: endpoint, marked: news}
	})
	return result.endpoint, result.marked, ok
}

// Copied is Table.Copied. It doesn't wait.
func (o *Owner) Copied(held state.Endpoint) { o.table.Send(func(t *Table) { t.Copied(held) }) }

// Merge is Table.Merge. It doesn't wait; news, where not nil, is called by the owner's goroutine if there was news.
func (o *Owner) Merge(told state.Endpoint, news func()) {
	o.table.Send(func(t *Table) {
		if t.Merge(o.clock(), told) && news != nil {
			news()
		}
	})
}

// Restore is Table.Restore.
func (o *Owner) Restore(kept state.Endpoint) bool {
	taken, _ := actor.Call(o.table, func(t *Table) bool { return t.Restore(o.clock(), kept) })
	return taken
}

// Sweep is Table.Sweep.
func (o *Owner) Sweep() []state.Endpoint {
	list, _ := actor.Call(o.table, func(t *Table) []state.Endpoint { return t.Sweep(o.clock()) })
	return list
}

// Live is Table.Live.
func (o *Owner) Live() []state.Endpoint {
	list, _ := actor.Call(o.table, func(t *Table) []state.Endpoint { return t.Live(o.clock()) })
	return list
}

// Delta is what Table.Changes returns.
type Delta struct {
	Changed   []state.Endpoint
	Forgotten []string
	Position  uint64
	Complete  bool
}

// Changes is Table.Changes.
func (o *Owner) Changes(since uint64) (Delta, bool) {
	return actor.Call(o.table, func(t *Table) (delta Delta) {
		delta.Changed, delta.Forgotten, delta.Position, delta.Complete = t.Changes(o.clock(), since)
		return delta
	})
}

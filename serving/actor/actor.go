// Package actor gives a table one goroutine that alone touches it and works through a queue of commands.
package actor

import "sync"

// queueLength is how many commands may wait before those who give them wait too.
const queueLength = 256

// Actor runs commands on a table, one after the other in the order given.
type Actor[Table any] struct {
	commands chan func(*Table)
	stopped  chan struct{}
	stop     sync.Once
}

// Start hands the table to a goroutine of its own. The caller must not touch it again.
func Start[Table any](table *Table) *Actor[Table] {
	o := &Actor[Table]{commands: make(chan func(*Table), queueLength), stopped: make(chan struct{})}
	go o.run(table)
	return o
}

func (o *Actor[Table]) run(table *Table) {
	for {
		select {
		case command := <-o.commands:
			command(table)
		case <-o.stopped:
			return
		}
	}
}

// Stop ends the goroutine. Commands that have not begun are dropped.
func (o *Actor[Table]) Stop() { o.stop.Do(func() { close(o.stopped) }) }

// Send queues a command and does not wait for its end.
func (o *Actor[Table]) Send(command func(*Table)) {
	select {
	case o.commands <- command:
	case <-o.stopped:
	}
}

// Call runs a command and returns its result; after Stop, false.
func Call[Table, Result any](o *Actor[Table], command func(*Table) Result) (result Result, ok bool) {
	answer := make(chan Result, 1)
	o.Send(func(table *Table) { answer <- command(table) })
	select {
	case result = <-answer:
		return result, true
	case <-o.stopped:
		return result, false
	}
}

// Package actor implements actors. An actor owns a state that only its goroutine accesses, and executes commands on the
// state one after the other.
package actor

import "sync"

// queueLength is the number of commands that can be queued before Send blocks.
const queueLength = 256

// Actor executes commands on a state in the order in which they are sent. It is safe for concurrent use.
type Actor[State any] struct {
	commands chan func(*State)
	stopped  chan struct{}
	stopOnce sync.Once
}

// Start starts an actor that owns the state. The caller must not access the state again. Stop ends its goroutine.
func Start[State any](state *State) *Actor[State] {
	a := &Actor[State]{
		commands: make(chan func(*State), queueLength),
		stopped:  make(chan struct{}),
	}
	go a.run(state)
	return a
}

func (a *Actor[State]) run(state *State) {
	for {
		select {
		case command := <-a.commands:
			command(state)
		case <-a.stopped:
			return
		}
	}
}

// Stop ends the actor without waiting for the current command. Queued commands are dropped.
func (a *Actor[State]) Stop() { a.stopOnce.Do(func() { close(a.stopped) }) }

// Send queues a command and returns without waiting for its execution. It blocks while the queue is full. After Stop
// the command is dropped.
func (a *Actor[State]) Send(command func(*State)) {
	select {
	case a.commands <- command:
	case <-a.stopped:
	}
}

// Call executes a command and returns its result, or false if the actor was stopped. A command must not use it on its
// own actor, as it would wait for itself.
func Call[State, Result any](a *Actor[State], command func(*State) Result) (result Result, ok bool) {
	results := make(chan Result, 1)
	a.Send(func(state *State) { results <- command(state) })
	select {
	case result = <-results:
		return result, true
	case <-a.stopped:
		return result, false
	}
}

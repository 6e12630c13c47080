package proxy

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rowanlink/internal/ctxsleep"
	"rowanlink/serving/event"
	"rowanlink/serving/rpc"
	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

const (
	// pollWait is how long the agent may hold a poll when it has no news.
	pollWait = 5 * time.Second
	// pollSlack is how much later than that a poll is given up.
	pollSlack = time.Second
	// pollPause bounds the rate of polls while news comes in quick succession.
	pollPause = 20 * time.Millisecond
	// pollPauseMost and takeShare bound the share of the time that goes into taking news in.
	pollPauseMost = 250 * time.Millisecond
	takeShare     = 0.02
	// reconnectLeast is the pause after a poll that failed. It doubles with each until one succeeds: agent and proxy
	// are mostly started together, and an agent that doesn't come needn't be asked often.
	reconnectLeast = 20 * time.Millisecond
	reconnectMost  = 200 * time.Millisecond
	// pendingMost bounds the observations that wait to be told.
	pendingMost = 256
)

// watcher polls the agent and hands on what it tells.
type watcher struct {
	client  *rpc.Client
	address string
	front   string
	log     *zerolog.Logger
	take    func(*subscription.Response) (subscription.Cursor, state.MemberState)
	observe func() []state.Observation

	incarnation uint64
	cursor      subscription.Cursor
	pending     []state.Observation // not yet told
	lost        bool

	mu        sync.Mutex
	state     state.MemberState
	interrupt context.CancelFunc // of the poll under way
}

// run polls until the context ends.
func (w *watcher) run(ctx context.Context) {
	w.incarnation = rand.Uint64()
	reconnect := reconnectLeast
	for ctx.Err() == nil {
		response, interrupted, err := w.poll(ctx)
		switch {
		case err == nil:
			w.noteAlive()
			reconnect = reconnectLeast
			begun := time.Now()
			cursor, standing := w.take(response)
			w.cursor = cursor
			w.advance(standing)
			ctxsleep.For(ctx, pauseAfter(time.Since(begun)))
		case interrupted:
		default:
			w.noteLost(ctx, err)
			ctxsleep.For(ctx, reconnect)
			reconnect = min(2*reconnect, reconnectMost)
		}
	}
}

// pauseAfter is the time until the next poll, when taking the last answer in took so long: what many endpoints that
// change cost must not grow into all of the machine.
func pauseAfter(took time.Duration) time.Duration {
	return min(max(pollPause, time.Duration(float64(took)/takeShare)), pollPauseMost)
}

// poll asks the agent once.
func (w *watcher) poll(ctx context.Context) (response *subscription.Response, interrupted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, pollLimit(pollWait))
	defer cancel()
	w.gather()
	request := subscription.Request{
		Since: w.cursor, WaitMillis: pollWait.Milliseconds(), Incarnation: w.incarnation,
		State: w.begin(cancel), Observations: w.pending, Front: w.front,
	}
	response, err = subscription.Watch.Call(ctx, w.client, w.address, &request)
	interrupted = w.end()
	if err == nil || interrupted { // the agent takes a request in before it waits
		w.pending = nil
	}
	return response, interrupted, err
}

// gather adds what there is to tell of endpoints. Of what can't be told for long the newest is kept.
func (w *watcher) gather() {
	w.pending = append(w.pending, w.observe()...)
	if surplus := len(w.pending) - pendingMost; surplus > 0 {
		w.pending = w.pending[surplus:]
	}
}

// tell has what there is to tell of endpoints told at once.
func (w *watcher) tell() { w.stopPoll() }

// begin notes the poll under way and returns the state to tell.
func (w *watcher) begin(interrupt context.CancelFunc) state.MemberState {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.interrupt = interrupt
	return w.state
}

// end notes that no poll is under way. It tells whether the last one was interrupted.
func (w *watcher) end() (interrupted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	interrupted = w.interrupt == nil
	w.interrupt = nil
	return interrupted
}

// advance moves the state that the agent is told on; it never goes back.
func (w *watcher) advance(to state.MemberState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = max(w.state, to)
}

// leave tells the agent at once that this process ends.
func (w *watcher) leave() {
	w.advance(state.MemberLeaving)
	w.stopPoll()
}

// stopPoll has the poll under way made anew.
func (w *watcher) stopPoll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.interrupt != nil {
		w.interrupt()
		w.interrupt = nil
	}
}

func (w *watcher) noteAlive() {
	if w.lost {
		w.lost = false
		event.AgentConnectionRestored.Log(w.log).Send()
	}
}

func (w *watcher) noteLost(ctx context.Context, err error) {
	if !w.lost && ctx.Err() == nil {
		w.lost = true
		event.AgentConnectionLost.Log(w.log).Err(err).Send()
	}
}

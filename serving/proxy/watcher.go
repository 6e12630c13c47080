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
	// minPollPause bounds the rate of polls while news comes in quick succession.
	minPollPause = 20 * time.Millisecond
	// maxPollPause and applyTimeShare bound the share of the time that goes into taking news in.
	maxPollPause   = 250 * time.Millisecond
	applyTimeShare = 0.02
	// minReconnectDelay is the pause after a poll that failed. It doubles with each until one succeeds: agent and proxy
	// are mostly started together, and an agent that doesn't come needn't be asked often.
	minReconnectDelay = 20 * time.Millisecond
	maxReconnectDelay = 200 * time.Millisecond
	// maxPendingObservations bounds the observations that wait to be told.
	maxPendingObservations = 256
)

// watcher polls the agent and hands on what it tells.
type watcher struct {
	client           *rpc.Client
	address          string
	front            string
	log              *zerolog.Logger
	apply            func(*subscription.Response) (subscription.Cursor, state.MemberState)
	takeObservations func() []state.Observation

	incarnation  uint64
	cursor       subscription.Cursor
	pending      []state.Observation // not yet told
	disconnected bool

	mu        sync.Mutex
	state     state.MemberState
	interrupt context.CancelFunc // of the poll under way
}

// run polls until the context ends.
func (w *watcher) run(ctx context.Context) {
	w.incarnation = rand.Uint64()
	reconnect := minReconnectDelay
	for ctx.Err() == nil {
		response, interrupted, err := w.poll(ctx)
		switch {
		case err == nil:
			w.logRegained()
			reconnect = minReconnectDelay
			begun := time.Now()
			cursor, standing := w.apply(response)
			w.cursor = cursor
			w.advanceState(standing)
			ctxsleep.Sleep(ctx, pauseAfter(time.Since(begun)))
		case interrupted:
		default:
			w.logLost(ctx, err)
			ctxsleep.Sleep(ctx, reconnect)
			reconnect = min(2*reconnect, maxReconnectDelay)
		}
	}
}

// pauseAfter is the time until the next poll, when taking the last answer in took so long: what many endpoints that
// change cost must not grow into all of the machine.
func pauseAfter(took time.Duration) time.Duration {
	return min(max(minPollPause, time.Duration(float64(took)/applyTimeShare)), maxPollPause)
}

// poll asks the agent once.
func (w *watcher) poll(ctx context.Context) (response *subscription.Response, interrupted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout(pollWait))
	defer cancel()
	w.gatherObservations()
	request := subscription.Request{
		Since: w.cursor, WaitMillis: pollWait.Milliseconds(), Incarnation: w.incarnation,
		State: w.beginPoll(cancel), Observations: w.pending, ClientAddress: w.front,
	}
	response, err = subscription.Watch.Call(ctx, w.client, w.address, &request)
	interrupted = w.endPoll()
	if err == nil || interrupted { // the agent takes a request in before it waits
		w.pending = nil
	}
	return response, interrupted, err
}

// gatherObservations adds what there is to tell of endpoints. Of what can't be told for long the newest is kept.
func (w *watcher) gatherObservations() {
	w.pending = append(w.pending, w.takeObservations()...)
	if surplus := len(w.pending) - maxPendingObservations; surplus > 0 {
		w.pending = w.pending[surplus:]
	}
}

// reportNow has what there is to tell of endpoints told at once.
func (w *watcher) reportNow() { w.interruptPoll() }

// beginPoll notes the poll under way and returns the state to tell.
func (w *watcher) beginPoll(interrupt context.CancelFunc) state.MemberState {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.interrupt = interrupt
	return w.state
}

// endPoll notes that no poll is under way. It tells whether the last one was interrupted.
func (w *watcher) endPoll() (interrupted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	interrupted = w.interrupt == nil
	w.interrupt = nil
	return interrupted
}

// advanceState moves the state that the agent is told on; it never goes back.
func (w *watcher) advanceState(to state.MemberState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = max(w.state, to)
}

// announceLeaving tells the agent at once that this process ends.
func (w *watcher) announceLeaving() {
	w.advanceState(state.MemberLeaving)
	w.interruptPoll()
}

// interruptPoll has the poll under way made anew.
func (w *watcher) interruptPoll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.interrupt != nil {
		w.interrupt()
		w.interrupt = nil
	}
}

func (w *watcher) logRegained() {
	if w.disconnected {
		w.disconnected = false
		event.AgentConnectionRestored.Log(w.log).Send()
	}
}

func (w *watcher) logLost(ctx context.Context, err error) {
	if !w.disconnected && ctx.Err() == nil {
		w.disconnected = true
		event.AgentConnectionLost.Log(w.log).Err(err).Send()
	}
}

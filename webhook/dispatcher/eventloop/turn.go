package eventloop

import (
	"log/slog"
	"slices"
	"time"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
	"rowanlink/webhook/dispatcher/lifecycle"
	"rowanlink/webhook/dispatcher/upstream"
)

// maxTurnInterval is the longest time between two turns.
const maxTurnInterval = api.Second

// Run takes turns until the process has stopped. A turn begins when something is queued or a timer is due, but no sooner
// than the minimum interval after the last one.
func (l *Loop) Run() {
	timer := time.NewTimer(0)
	for l.lifecycle.Phase() < lifecycle.Stopped {
		next := l.lastTurnAt + maxTurnInterval
		if at, ok := l.timers.Next(); ok {
			next = min(next, api.Micros(at))
		}
		timer.Reset(max(next-inflight.Now(), 0).Duration())
		select {
		case <-l.inbox.Ready():
		case <-timer.C:
		}
		if rest := l.lastTurnAt + l.settings.MinTurnInterval - inflight.Now(); rest > 0 {
			time.Sleep(rest.Duration())
		}
		l.turn()
	}
	l.turn() // writes the last results to the log
	close(l.stopped)
}

// turn handles all queued input and due timers, has the policy decide, and acts on the decisions.
func (l *Loop) turn() {
	arrivals, posted := l.inbox.TakeAll()
	l.now = inflight.Now()
	l.lastTurnAt = l.now
	l.inbox.Turns.Add(1)
	for _, call := range posted {
		call()
	}
	for _, w := range arrivals {
		l.admit(w)
	}
	for {
		call, ok := l.timers.PopDue(int64(l.now))
		if !ok {
			break
		}
		call()
	}
	if l.lifecycle.StartsCalls() {
		l.policy.EndTurn()
	}
	l.actOnTurn()
}

// runInTurn runs do in the next turn and waits for it. After the last turn it returns without running do.
func (l *Loop) runInTurn(do func()) {
	done := make(chan struct{})
	l.inbox.Post(func() {
		defer close(done)
		do()
	})
	l.wait(done)
}

// runAndCommit runs do in the next turn, and afterWrite once the write of that turn's decisions has succeeded or failed
// (see commitFailed); it waits for both. After the last turn it returns without running them.
func (l *Loop) runAndCommit(do, afterWrite func()) {
	done := make(chan struct{})
	l.inbox.Post(func() {
		do()
		l.afterCommit = append(l.afterCommit, func() {
			afterWrite()
			close(done)
		})
	})
	l.wait(done)
}

func (l *Loop) wait(done <-chan struct{}) {
	select {
	case <-done:
	case <-l.stopped:
	}
}

// actOnTurn writes the turn's decisions to the log, then answers clients, cancels and starts calls, and runs the functions
// that waited for the write.
func (l *Loop) actOnTurn() {
	l.dropForbiddenAttempts()
	for _, a := range l.attempts {
		l.log.RecordCall(a.Webhook.ID, l.now, l.upstream.Zone(a.endpoint))
	}
	err := l.log.Commit()
	l.commitFailed = err != nil
	if err != nil {
		l.handleCommitFailure(err)
	}
	for _, id := range l.accepted {
		if w := l.unanswered[id]; w != nil {
			w.Answer(inflight.Accepted, 0)
			delete(l.unanswered, id)
		}
	}
	for _, id := range l.cancels {
		l.upstream.Cancel(id)
	}
	l.startCalls()
	for _, notify := range l.afterCommit {
		notify()
	}
	for _, endpoint := range l.idleToClose {
		l.upstream.CloseIdle(endpoint)
	}
	l.resetTurn()
}

func (l *Loop) resetTurn() {
	l.accepted = l.accepted[:0]
	l.attempts = l.attempts[:0]
	l.afterCommit = l.afterCommit[:0]
	l.cancels = l.cancels[:0]
	l.idleToClose = l.idleToClose[:0]
}

// dropForbiddenAttempts drops the attempts to destinations whose lease has ended since the turn began.
func (l *Loop) dropForbiddenAttempts() {
	l.attempts = slices.DeleteFunc(l.attempts, func(a attempt) bool {
		if l.mayCall(a.Webhook) {
			return false
		}
		l.handleNotSent(a)
		return true
	})
}

// handleCommitFailure handles a failed write, when the disk is full or broken. Since the turn's decisions would not survive
// the process, the webhooks accepted in this turn are rejected, and none of its calls is made.
func (l *Loop) handleCommitFailure(err error) {
	slog.Error("write-ahead log not written", "err", err)
	l.inbox.LogErrors.Add(1)
	for _, id := range l.accepted {
		w := l.unanswered[id]
		if w == nil {
			continue
		}
		l.log.Undo(id)
		l.policy.Withdraw(id)
		l.unpark(id)
		l.remove(w)
		l.reject(w)
		delete(l.unanswered, id)
	}
	for _, a := range l.attempts {
		l.handleNotSent(a)
	}
	l.attempts = l.attempts[:0]
}

// startCalls makes the calls of this turn, those to one endpoint together, in the order decided.
func (l *Loop) startCalls() {
	var order []api.EndpointID
	byEndpoint := map[api.EndpointID][]upstream.Attempt{}
	for _, a := range l.attempts {
		if byEndpoint[a.endpoint] == nil {
			order = append(order, a.endpoint)
		}
		byEndpoint[a.endpoint] = append(byEndpoint[a.endpoint], a.Attempt)
	}
	for _, endpoint := range order {
		l.upstream.Send(endpoint, byEndpoint[endpoint])
	}
}

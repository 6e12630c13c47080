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

// Run takes turns until the program has ended: when something waits or is due, no faster than the tick.
func (d *Loop) Run() {
	timer := time.NewTimer(0)
	for d.lifecycle.Phase() < lifecycle.Stopped {
		next := d.lastTurnAt + api.Second
		if at, ok := d.timers.Next(); ok {
			next = min(next, api.Micros(at))
		}
		timer.Reset(inflight.Duration(max(next-inflight.Now(), 0)))
		select {
		case <-d.inbox.Ready():
		case <-timer.C:
		}
		if rest := d.lastTurnAt + d.settings.MinTurnInterval - inflight.Now(); rest > 0 {
			time.Sleep(inflight.Duration(rest))
		}
		d.turn()
	}
	d.turn() // what came back last is written down
	close(d.stopped)
}

// wait waits for what was told to be done in a turn, unless there are no more turns.
func (d *Loop) wait(done <-chan struct{}) {
	select {
	case <-done:
	case <-d.stopped:
	}
}

func (d *Loop) turn() {
	arrivals, news := d.inbox.TakeAll()
	d.now = inflight.Now()
	d.lastTurnAt = d.now
	d.inbox.Turns.Add(1)
	for _, call := range news {
		call()
	}
	for _, w := range arrivals {
		for i := 0; i < len(d.admission) && d.admission[i](w); i++ {
		}
	}
	for call, ok := d.timers.PopDue(int64(d.now)); ok; call, ok = d.timers.PopDue(int64(d.now)) {
		call()
	}
	if d.lifecycle.StartsCalls() {
		d.policy.EndTurn()
	}
	d.actOnTurn()
}

// reject answers for what is not taken on. What another member may have is neither rejected nor taken.
func (d *Loop) reject(w *inflight.Webhook) {
	if w.MustKeep {
		w.Answer(inflight.Undetermined, 0)
	} else {
		w.Answer(inflight.Rejected, 0)
	}
}

// admitInTime ends what its client no longer waits for, and what comes when nothing is taken on any more. What
// another member may have is kept all the same: nobody else would settle that.
func (d *Loop) admitInTime(w *inflight.Webhook) bool {
	if w.MustKeep {
		return true
	}
	if !d.lifecycle.AcceptsWebhooks() || d.now-w.ReceivedAt > inflight.AnswerTimeout {
		w.Answer(inflight.Rejected, 0)
		return false
	}
	return true
}

// admitWithinBuffer ends what is beyond the buffer.
func (d *Loop) admitWithinBuffer(w *inflight.Webhook) bool {
	if len(d.webhooks) >= d.settings.BufferSize && !w.MustKeep { // of those there are no more than clients' connections
		w.Answer(inflight.Rejected, 0)
		return false
	}
	return true
}

// admitOnce keeps a request id from being held twice.
func (d *Loop) admitOnce(w *inflight.Webhook) bool {
	if _, held := d.idOf[w.RequestID]; held {
		w.Answer(inflight.Duplicate, 0)
		return false
	}
	return true
}

// acceptWebhook notes the webhook and hands it to the module.
func (d *Loop) acceptWebhook(w *inflight.Webhook) bool {
	w.ID = d.nextID
	if err := d.logAccepted(w); err != nil {
		d.inbox.JournalErrors.Add(1)
		d.reject(w)
		return false
	}
	d.nextID++
	d.webhooks[w.ID], d.idOf[w.RequestID], d.unanswered[w.ID] = w, w.ID, w
	d.accepted = append(d.accepted, w.ID)
	attempts, mayRun, zone := logPriorAttempts(d.log, w)
	d.begin(w, attempts, mayRun, zone)
	return true
}

// actOnTurn writes down what was decided, then answers, calls and tells.
func (d *Loop) actOnTurn() {
	d.attempts = slices.DeleteFunc(d.attempts, func(a attempt) bool {
		if d.mayCall(a.Webhook) {
			return false
		}
		d.handleNotSent(a) // the grant is over since the turn began
		return true
	})
	for _, a := range d.attempts {
		d.log.RecordCall(a.Webhook.ID, d.now, d.upstream.Zone(a.endpoint))
	}
	err := d.log.Commit()
	if d.commitFailed = err != nil; d.commitFailed {
		d.handleCommitFailure(err)
	}
	for _, id := range d.accepted {
		if w := d.unanswered[id]; w != nil {
			w.Answer(inflight.Accepted, 0)
			delete(d.unanswered, id)
		}
	}
	for _, id := range d.cancels {
		d.upstream.Cancel(id)
	}
	d.startCalls()
	for _, end := range d.afterCommit {
		end()
	}
	for _, ep := range d.idleToClose {
		d.upstream.CloseIdle(ep)
	}
	d.accepted, d.attempts, d.afterCommit = d.accepted[:0], d.attempts[:0], d.afterCommit[:0]
	d.cancels, d.idleToClose = d.cancels[:0], d.idleToClose[:0]
}

// handleCommitFailure guards against acting on what would not survive: a disk that is full or gone. What came in this
// turn is rejected, and no call of this turn is made.
func (d *Loop) handleCommitFailure(err error) {
	slog.Error("journal not written", "err", err)
	d.inbox.JournalErrors.Add(1)
	for _, id := range d.accepted {
		if w := d.unanswered[id]; w != nil {
			d.log.Undo(id)
			d.policy.Withdraw(id)
			d.unpark(id)
			d.remove(w)
			d.reject(w)
			delete(d.unanswered, id)
		}
	}
	for _, a := range d.attempts {
		d.handleNotSent(a)
	}
	d.attempts = d.attempts[:0]
}

// startCalls makes the calls of this turn, those to one endpoint together, in the order decided.
func (d *Loop) startCalls() {
	var eps []api.EndpointID
	tries := map[api.EndpointID][]upstream.Attempt{}
	for _, a := range d.attempts {
		if tries[a.endpoint] == nil {
			eps = append(eps, a.endpoint)
		}
		tries[a.endpoint] = append(tries[a.endpoint], a.Attempt)
	}
	for _, ep := range eps {
		d.upstream.Send(ep, tries[ep])
	}
}

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
	for d.life.Phase() < lifecycle.Stopped {
		next := d.turned + api.Second
		if at, ok := d.dues.Next(); ok {
			next = min(next, api.Micros(at))
		}
		timer.Reset(inflight.Duration(max(next-inflight.Now(), 0)))
		select {
		case <-d.x.Ready():
		case <-timer.C:
		}
		if rest := d.turned + d.facts.MinTurnInterval - inflight.Now(); rest > 0 {
			time.Sleep(inflight.Duration(rest))
		}
		d.turn()
	}
	d.turn() // what came back last is written down
	close(d.over)
}

// awaits waits for what was told to be done in a turn, unless there are no more turns.
func (d *Loop) awaits(done <-chan struct{}) {
	select {
	case <-done:
	case <-d.over:
	}
}

func (d *Loop) turn() {
	arrivals, news := d.x.TakeAll()
	d.now = inflight.Now()
	d.turned = d.now
	d.x.Turns.Add(1)
	for _, call := range news {
		call()
	}
	for _, w := range arrivals {
		for i := 0; i < len(d.stages) && d.stages[i](w); i++ {
		}
	}
	for call, ok := d.dues.PopDue(int64(d.now)); ok; call, ok = d.dues.PopDue(int64(d.now)) {
		call()
	}
	if d.life.StartsCalls() {
		d.module.EndTurn()
	}
	d.act()
}

// refuse answers for what is not taken on. What another member may have is neither rejected nor taken.
func (d *Loop) refuse(w *inflight.Webhook) {
	if w.MustKeep {
		w.Answer(inflight.Undetermined, 0)
	} else {
		w.Answer(inflight.Rejected, 0)
	}
}

// inTime ends what its client no longer waits for, and what comes when nothing is taken on any more. What
// another member may have is kept all the same: nobody else would settle that.
func (d *Loop) inTime(w *inflight.Webhook) bool {
	if w.MustKeep {
		return true
	}
	if !d.life.AcceptsWebhooks() || d.now-w.ReceivedAt > inflight.AnswerTimeout {
		w.Answer(inflight.Rejected, 0)
		return false
	}
	return true
}

// room ends what is beyond the buffer.
func (d *Loop) room(w *inflight.Webhook) bool {
	if len(d.held) >= d.facts.BufferSize && !w.MustKeep { // of those there are no more than clients' connections
		w.Answer(inflight.Rejected, 0)
		return false
	}
	return true
}

// once keeps a request id from being held twice.
func (d *Loop) once(w *inflight.Webhook) bool {
	if _, held := d.ids[w.RequestID]; held {
		w.Answer(inflight.Duplicate, 0)
		return false
	}
	return true
}

// take notes the webhook and hands it to the module.
func (d *Loop) take(w *inflight.Webhook) bool {
	w.ID = d.nextID
	if err := d.accept(w); err != nil {
		d.x.JournalErrors.Add(1)
		d.refuse(w)
		return false
	}
	d.nextID++
	d.held[w.ID], d.ids[w.RequestID], d.fresh[w.ID] = w, w.ID, w
	d.order = append(d.order, w.ID)
	attempts, mayRun, zone := past(d.journal, w)
	d.begins(w, attempts, mayRun, zone)
	return true
}

// act writes down what was decided, then answers, calls and tells.
func (d *Loop) act() {
	d.attempts = slices.DeleteFunc(d.attempts, func(a attempt) bool {
		if d.mayCall(a.Webhook) {
			return false
		}
		d.handleNotSent(a) // the grant is over since the turn began
		return true
	})
	for _, a := range d.attempts {
		d.journal.RecordCall(a.Webhook.ID, d.now, d.calls.Zone(a.ep))
	}
	err := d.journal.Commit()
	if d.lost = err != nil; d.lost {
		d.unwritten(err)
	}
	for _, id := range d.order {
		if w := d.fresh[id]; w != nil {
			w.Answer(inflight.Accepted, 0)
			delete(d.fresh, id)
		}
	}
	for _, id := range d.cancels {
		d.calls.Cancel(id)
	}
	d.send()
	for _, end := range d.ends {
		end()
	}
	for _, ep := range d.hangUps {
		d.calls.CloseIdle(ep)
	}
	d.order, d.attempts, d.ends = d.order[:0], d.attempts[:0], d.ends[:0]
	d.cancels, d.hangUps = d.cancels[:0], d.hangUps[:0]
}

// unwritten guards against acting on what would not survive: a disk that is full or gone. What came in this
// turn is rejected, and no call of this turn is made.
func (d *Loop) unwritten(err error) {
	slog.Error("journal not written", "err", err)
	d.x.JournalErrors.Add(1)
	for _, id := range d.order {
		if w := d.fresh[id]; w != nil {
			d.journal.Undo(id)
			d.module.Withdraw(id)
			d.unpark(id)
			d.drop(w)
			d.refuse(w)
			delete(d.fresh, id)
		}
	}
	for _, a := range d.attempts {
		d.handleNotSent(a)
	}
	d.attempts = d.attempts[:0]
}

// send makes the calls of this turn, those to one endpoint together, in the order decided.
func (d *Loop) send() {
	var eps []api.EndpointID
	tries := map[api.EndpointID][]upstream.Attempt{}
	for _, a := range d.attempts {
		if tries[a.ep] == nil {
			eps = append(eps, a.ep)
		}
		tries[a.ep] = append(tries[a.ep], a.Attempt)
	}
	for _, ep := range eps {
		d.calls.Send(ep, tries[ep])
	}
}

package endpoints

import (
	"slices"
	"strings"
	"time"

	"rowanlink/serving/state"
)

// Sweep judges the endpoints by the time since their last calls and forgets those long gone. It returns the
// endpoints that the other members must be told of. It is to be called every half second or so: a pause of more than
// two seconds counts as a standstill of this process, and all silence is counted anew from its end.
func (t *Table) Sweep(now time.Time) []state.Endpoint {
	pause := now.Sub(t.lastSweep)
	stoodStill := pause > standstill && !t.lastSweep.IsZero()
	t.lastSweep = now
	judges := make(map[string]bool) // by receiver: there are few
	for _, e := range t.entries {
		if stoodStill {
			e.heard = now
		}
		judged, asked := judges[e.known.Receiver]
		if !asked {
			judged = t.options.Judges(e.known.Receiver)
			judges[e.known.Receiver] = judged
		}
		t.judge(now, e, judged)
	}
	return t.takePending(now)
}

// judge looks at one endpoint. Judged: its silence is this member's to judge.
func (t *Table) judge(now time.Time, e *entry, judged bool) {
	if e.known.State == state.EndpointDeparted {
		if now.Sub(e.goneAt) > tombstoneKept {
			t.forget(e)
		}
		return
	}
	if judged && !e.judged {
		e.heard = now // this member has listened only since now
	}
	e.judged = judged
	if !judged {
		return
	}
	silence := now.Sub(e.heard)
	switch {
	case silence > goneAfter, !e.takenAt.IsZero() && now.Sub(e.takenAt) > takenSlack:
		t.end(now, e)
		t.pending[e.known.ID] = e
	case silence > silentBeats*t.options.BeatInterval+silentSlack && !e.known.Unresponsive:
		t.silence(e)
	}
}

func (t *Table) takePending(now time.Time) []state.Endpoint {
	if len(t.pending) == 0 {
		return nil
	}
	list := make([]state.Endpoint, 0, len(t.pending))
	for _, e := range t.pending {
		t.tell(e)
		list = append(list, e.at(now))
	}
	slices.SortFunc(list, func(a, b state.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return list
}

func (t *Table) forget(e *entry) {
	t.position++
	t.forgotten.add(t.position, e.known.ID)
	delete(t.entries, e.known.ID)
	delete(t.pending, e.known.ID)
}

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
	stoodStill := pause > maxSweepPause && !t.lastSweep.IsZero()
	t.lastSweep = now
	judges := make(map[string]bool) // by receiver: there are few
	for _, e := range t.entries {
		if stoodStill {
			e.lastHeartbeat = now
		}
		judged, asked := judges[e.endpoint.Receiver]
		if !asked {
			judged = t.options.IsResponsibleFor(e.endpoint.Receiver)
			judges[e.endpoint.Receiver] = judged
		}
		t.checkLiveness(now, e, judged)
	}
	return t.takePending(now)
}

// checkLiveness looks at one endpoint. Judged: its silence is this member's to judge.
func (t *Table) checkLiveness(now time.Time, e *entry, judged bool) {
	if e.endpoint.State == state.EndpointDeparted {
		if now.Sub(e.goneSince) > tombstoneRetention {
			t.remove(e)
		}
		return
	}
	if judged && !e.responsible {
		e.lastHeartbeat = now // this member has listened only since now
	}
	e.responsible = judged
	if !judged {
		return
	}
	silence := now.Sub(e.lastHeartbeat)
	switch {
	case silence > goneTimeout, !e.removalDue.IsZero() && now.Sub(e.removalDue) > removalSlack:
		t.markGone(now, e)
		t.pending[e.endpoint.ID] = e
	case silence > silentIntervals*t.options.HeartbeatInterval+silentSlack && !e.endpoint.Unresponsive:
		t.markSilent(e)
	}
}

func (t *Table) takePending(now time.Time) []state.Endpoint {
	if len(t.pending) == 0 {
		return nil
	}
	list := make([]state.Endpoint, 0, len(t.pending))
	for _, e := range t.pending {
		t.recordBroadcast(e)
		list = append(list, e.snapshotAt(now))
	}
	slices.SortFunc(list, func(a, b state.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return list
}

func (t *Table) remove(e *entry) {
	t.position++
	t.removals.add(t.position, e.endpoint.ID)
	delete(t.entries, e.endpoint.ID)
	delete(t.pending, e.endpoint.ID)
}

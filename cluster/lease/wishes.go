package lease

import (
	"errors"
	"maps"
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// Reconciler is what a member wants to hold and what it gave up, over its Tenure: what the keepers are to be told
// next, and what they surely know. Messages may be lost, doubled and late: what is not known is asked again,
// and Has sets right what the two sides know otherwise of each other.
type Reconciler struct {
	tenure  *Holder
	again   api.Micros
	wants   map[cluster.Resource]wish
	letting map[cluster.Resource]letGo // given up, and the keepers don't know yet
}

// wish is one task that is wanted.
type wish struct {
	elsewhere bool       // another held it when last asked
	heard     api.Micros // when that was
}

// letGo is a grant given up that the keepers may not know of yet.
type letGo struct {
	session cluster.SessionID
	epoch   cluster.Epoch
}

// Proposal is what the keepers are to be told next: a release where Let is named, else an ask for Wanted.
type Proposal struct {
	Session cluster.SessionID
	Release cluster.Resource
	Epoch   cluster.Epoch
	Acquire []cluster.Resource
}

// HasWork is whether there is something to tell.
func (p Proposal) HasWork() bool { return p.Release != "" || len(p.Acquire) > 0 }

// Command is the proposal as it goes into the log.
func (p Proposal) Command() cluster.Command {
	if p.Release != "" {
		return ReleaseLease(p.Session, p.Release, p.Epoch)
	}
	return AcquireLeases(p.Session, p.Acquire...)
}

// NewReconciler wants nothing. What another holds is asked for again after the span `again`, in microseconds of
// the member's clock, even if no keeper ever told that it is free.
func NewReconciler(t *Holder, again api.Micros) *Reconciler {
	return &Reconciler{tenure: t, again: again, wants: map[cluster.Resource]wish{}, letting: map[cluster.Resource]letGo{}}
}

// Request has a task asked for until it is released; false: it is already.
func (w *Reconciler) Request(t cluster.Resource) bool {
	_, already := w.wants[t]
	if !already {
		w.wants[t] = wish{}
	}
	return !already
}

// Release gives a task up at once. A grant of it that is not known here yet is given back by Granted or Has.
func (w *Reconciler) Release(t cluster.Resource) {
	delete(w.wants, t)
	if e, held := w.tenure.Relinquish(t); held {
		w.letting[t] = letGo{w.tenure.Session(), e}
	}
}

// CancelRequest drops a wish that has no grant. One that has is left for Release, also while its session is over by
// the clock: it may stand again, and calls by it may be out.
func (w *Reconciler) CancelRequest(t cluster.Resource) {
	if _, granted := w.tenure.epochs[t]; !granted {
		delete(w.wants, t)
	}
}

// Requested are the tasks wanted, sorted.
func (w *Reconciler) Requested() []cluster.Resource { return slices.Sorted(maps.Keys(w.wants)) }

// RetryAll has all that is wanted asked for: for a session that begins.
func (w *Reconciler) RetryAll() {
	for t := range w.wants {
		w.wants[t] = wish{}
	}
}

// NextProposal is what the keepers are to be told now: first what was let, since until then it is given to nobody.
// Nothing while no session stands: one that stands again asks for all.
func (w *Reconciler) NextProposal(now api.Micros) Proposal {
	if !w.tenure.IsValid(now) {
		return Proposal{}
	}
	for _, t := range slices.Sorted(maps.Keys(w.letting)) {
		return Proposal{Session: w.letting[t].session, Release: t, Epoch: w.letting[t].epoch}
	}
	p := Proposal{Session: w.tenure.Session()}
	for _, t := range w.Requested() {
		_, held := w.tenure.Epoch(t, now)
		if v := w.wants[t]; !held && (!v.elsewhere || now-v.heard >= w.again) && len(p.Acquire) < mostTasks {
			p.Acquire = append(p.Acquire, t)
		}
	}
	return p
}

// NextRetryAt is when Next may have something to tell though nothing was heard; false: not by itself.
func (w *Reconciler) NextRetryAt() (at api.Micros, some bool) {
	for _, v := range w.wants {
		if v.elsewhere && (!some || v.heard+w.again < at) {
			at, some = v.heard+w.again, true
		}
	}
	return at, some
}

// HandleResult takes the answer to an ask for tasks. It tells whether some are held by others: Waits has them.
func (w *Reconciler) HandleResult(s cluster.SessionID, granted []Grant, now api.Micros) (waits bool) {
	for _, g := range granted {
		if g.Err() == nil {
			w.has(s, g)
			continue
		}
		// Guards against an answer to an earlier session's ask: by then it may have been that one's own.
		_, wants := w.wants[g.Resource]
		if _, knows := w.tenure.epochs[g.Resource]; wants && !knows && s == w.tenure.Session() {
			w.wants[g.Resource], waits = wish{true, now}, true
		}
	}
	return waits
}

// ReconcileGrants takes what a session holds by the log, as a keeper has it. Guards against a grant whose answer was lost
// and of which an older book said that another has it, and against one that came into the log late, after the
// task was given up: nobody would hold it, and nobody else be given it.
func (w *Reconciler) ReconcileGrants(s cluster.SessionID, all []Grant) {
	for _, g := range all {
		if g.Err() == nil {
			w.has(s, g)
		}
	}
}

// has takes one grant, or gives it back: where it is not wanted, and where its release was lost.
func (w *Reconciler) has(s cluster.SessionID, g Grant) {
	if s != w.tenure.Session() || g.Epoch < max(w.tenure.epochs[g.Resource], w.tenure.let[g.Resource]) {
		return // of an earlier session, or of a grant that is over: guards against one that comes late
	}
	if _, wants := w.wants[g.Resource]; w.tenure.AddGrant(s, g) && wants {
		w.wants[g.Resource] = wish{}
		return
	}
	w.tenure.Relinquish(g.Resource) // guards against Has giving it back to this member while its release is on the way
	w.letting[g.Resource] = letGo{s, g.Epoch}
}

// HandleReleaseResult takes what became of a release; false: it has to be told again.
func (w *Reconciler) HandleReleaseResult(p Proposal, err error) bool {
	if err != nil && !errors.Is(err, cluster.ErrFenced) && !errors.Is(err, cluster.ErrNotFound) {
		return false
	}
	// Done, or an earlier try was, or the session is over and all of it free.
	if w.letting[p.Release] == (letGo{p.Session, p.Epoch}) {
		delete(w.letting, p.Release)
	}
	return true
}

// Blocked is what others held when last asked, sorted.
func (w *Reconciler) Blocked() (all []cluster.Resource) {
	for _, t := range w.Requested() {
		if w.wants[t].elsewhere {
			all = append(all, t)
		}
	}
	return all
}

// HandleFreed is a keeper's word that tasks are free; it tells whether one of them is to be asked for now.
func (w *Reconciler) HandleFreed(tasks []cluster.Resource) (some bool) {
	for _, t := range tasks {
		if w.wants[t].elsewhere {
			w.wants[t], some = wish{}, true
		}
	}
	return some
}

package register

import (
	"sync"
	"sync/atomic"

	"rowanlink/serving/state"
)

// commitNotifier keeps the newest committed record and tells each newer one that this process has found to be committed.
type commitNotifier struct {
	onCommitted func(state.Record)
	latest      atomic.Pointer[state.Record]

	mutex            sync.Mutex // held while committed runs, so that records are told in order
	notifiedRevision uint64     // the newest revision told
}

// notify takes in a committed record and tells it, once, if it is newer than all told before.
func (a *commitNotifier) notify(record state.Record) {
	a.advance(record)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if record.Revision <= a.notifiedRevision {
		return
	}
	a.notifiedRevision = record.Revision
	if a.onCommitted != nil {
		a.onCommitted(record)
	}
}

// advance takes in a committed record that others have told; it is not told on. It reports whether it was news.
func (a *commitNotifier) advance(record state.Record) bool {
	for {
		latest := a.latest.Load()
		if latest != nil && latest.Revision >= record.Revision {
			return false
		}
		if a.latest.CompareAndSwap(latest, &record) {
			return true
		}
	}
}

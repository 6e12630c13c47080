package register

import (
	"sync"
	"sync/atomic"

	"rowanlink/serving/state"
)

// commitNotifier keeps the newest committed record, and calls onCommitted with each newer record that this process
// itself has found to be committed. It is safe for concurrent use.
type commitNotifier struct {
	onCommitted func(state.Record) // may be nil
	latest      atomic.Pointer[state.Record]

	mutex            sync.Mutex // held while onCommitted runs, so that its calls are in order of revision
	notifiedRevision uint64     // the highest revision that onCommitted was called with
}

// notify stores a committed record if it is the newest one, and calls onCommitted unless that was already called with
// the same or a higher revision.
func (n *commitNotifier) notify(record state.Record) {
	n.storeIfNewer(record)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if record.Revision <= n.notifiedRevision {
		return
	}
	n.notifiedRevision = record.Revision
	if n.onCommitted != nil {
		n.onCommitted(record)
	}
}

// storeIfNewer stores a committed record if it is newer than the latest one, and reports whether it is. It doesn't call
// onCommitted, which isn't meant for records that another process has published.
func (n *commitNotifier) storeIfNewer(record state.Record) bool {
	for {
		latest := n.latest.Load()
		if latest != nil && latest.Revision >= record.Revision {
			return false
		}
		if n.latest.CompareAndSwap(latest, &record) {
			return true
		}
	}
}

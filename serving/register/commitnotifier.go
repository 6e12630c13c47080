package register

import (
	"sync"
	"sync/atomic"

	"rowanlink/serving/state"
)

// commitNotifier keeps the newest committed record, and calls onCommitted with each newer one that this process has
// found to be committed. It is safe for concurrent use.
type commitNotifier struct {
	onCommitted func(state.Record) // may be nil
	latest      atomic.Pointer[state.Record]

	mutex            sync.Mutex // held while onCommitted runs, so that its calls are in order of revision
	notifiedRevision uint64     // the highest revision that onCommitted was called with
}

// notify takes a committed record, and calls onCommitted if it is newer than all before.
func (n *commitNotifier) notify(record state.Record) {
	n.advance(record)
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

// advance takes a committed record that another process has published, without calling onCommitted. It reports whether
// the record is newer than the latest one.
func (n *commitNotifier) advance(record state.Record) bool {
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

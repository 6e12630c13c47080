package agent

import (
	"time"

	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

// marksKept is the number of answers that a proxy may take up. One would do but for answers lost on the way.
const marksKept = 8

// endpointTable is what the agent needs of the table of endpoints.
type endpointTable interface {
	// Merge takes in an entry and tells whether it was news.
	Merge(now time.Time, endpoint state.Endpoint) bool
	// Changes returns what has changed since a position; complete: what it returns is the whole table.
	Changes(now time.Time, since uint64) (changed []state.Endpoint, forgotten []string, position uint64, complete bool)
	// Get returns an endpoint.
	Get(now time.Time, id string) (state.Endpoint, bool)
	// Sweep forgets endpoints that have been gone for long.
	Sweep(now time.Time) []state.Endpoint
}

// mark is what a proxy knows once it has an answer.
type mark struct {
	position  uint64
	endpoints uint64 // position in the table of endpoints
	revision  uint64
	loads     uint64
	proxies   subscription.Proxies
	partial   bool // the whole state was owed, but the agent didn't know yet that it has it
}

// news holds what the agent knows for its proxy, and what the proxy has been told. It has one owner.
type news struct {
	life      uint64 // of this process; a cursor of another one means nothing here
	endpoints endpointTable
	record    *state.Record
	loads     loadTable
	proxies   subscription.Proxies
	synced    bool // a member that was there before has handed over what it knows
	position  uint64
	marks     [marksKept]mark
	changed   chan struct{} // closed, and replaced, with each change
}

func newNews(life uint64, endpoints endpointTable) *news {
	return &news{life: life, endpoints: endpoints, loads: newLoadTable(), changed: make(chan struct{})}
}

// notify wakes the polls that wait.
func (n *news) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// takeRecord takes a committed record. Records never go back.
func (n *news) takeRecord(record *state.Record) bool {
	if n.record != nil && record.Revision <= n.record.Revision {
		return false
	}
	n.record = record
	n.notify()
	return true
}

// takeEndpoint takes an entry of the table of endpoints.
func (n *news) takeEndpoint(now time.Time, endpoint state.Endpoint) {
	if n.endpoints.Merge(now, endpoint) {
		n.notify()
	}
}

// sweep forgets endpoints that have been gone for long. The proxy learns of it with the next news: it's in no hurry.
// An agent judges no endpoint, so that there is nothing to tell other members.
func (n *news) sweep(now time.Time) { n.endpoints.Sweep(now) }

// takeLoad takes an endpoint's report on itself.
func (n *news) takeLoad(load state.Load) {
	if n.loads.take(load) {
		n.notify()
	}
}

// takeProxies takes the counts of proxies.
func (n *news) takeProxies(proxies subscription.Proxies) {
	if n.proxies != proxies {
		n.proxies = proxies
		n.notify()
	}
}

// setSynced notes that what is known is all there is to know.
func (n *news) setSynced() {
	if !n.synced {
		n.synced = true
		n.notify()
	}
}

// since returns what a proxy at the cursor doesn't know, or false where there is nothing.
func (n *news) since(now time.Time, cursor subscription.Cursor) (*subscription.Response, bool) {
	known, found := n.find(cursor)
	if !found || known.partial && n.synced {
		return n.everything(now), true
	}
	changed, forgotten, position, whole := n.endpoints.Changes(now, known.endpoints)
	if whole && known.endpoints != 0 { // the table was empty at position 0: all of it is new
		return n.everything(now), true
	}
	response := &subscription.Response{Endpoints: changed, Forgotten: forgotten, Proxies: n.proxies}
	response.Loads = n.loads.since(known.loads)
	if n.revision() > known.revision {
		response.Record = n.record
	}
	next := mark{endpoints: position, revision: n.revision(), loads: n.loads.position, proxies: n.proxies,
		partial: known.partial}
	if response.Record == nil && len(changed)+len(forgotten)+len(response.Loads) == 0 && n.proxies == known.proxies {
		return nil, false
	}
	response.Cursor = n.remember(next)
	return response, true
}

// everything returns the whole state. A proxy forgets what isn't in a complete answer: an agent that has just begun
// and may not have met a member that knows more leaves it what it has.
func (n *news) everything(now time.Time) *subscription.Response {
	endpoints, _, position, _ := n.endpoints.Changes(now, 0)
	next := mark{endpoints: position, revision: n.revision(), loads: n.loads.position, proxies: n.proxies,
		partial: !n.synced}
	return &subscription.Response{Cursor: n.remember(next), Complete: n.synced, Record: n.record, Endpoints: endpoints,
		Loads: n.loads.since(0), Proxies: n.proxies}
}

// nothing answers a poll whose wait is over.
func (n *news) nothing(cursor subscription.Cursor) *subscription.Response {
	return &subscription.Response{Cursor: cursor, Proxies: n.proxies}
}

func (n *news) revision() uint64 {
	if n.record == nil {
		return 0
	}
	return n.record.Revision
}

// remember keeps what a proxy knows once it has the answer that is being made.
func (n *news) remember(next mark) subscription.Cursor {
	n.position++
	next.position = n.position
	n.marks[n.position%marksKept] = next
	return subscription.Cursor{Life: n.life, Position: n.position}
}

// find returns what a proxy at a cursor knows. The zero cursor knows nothing.
func (n *news) find(cursor subscription.Cursor) (mark, bool) {
	kept := n.marks[cursor.Position%marksKept]
	return kept, cursor.Life == n.life && cursor.Position != 0 && kept.position == cursor.Position
}

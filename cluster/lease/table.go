package lease

import (
	"maps"
	"slices"

	"rowanlink/cluster"
)

// Table is the replicated component: the open sessions, the leases that they hold, and the last epoch of each
// resource. It has no notion of time. Session ids and epochs are log indexes, but never fall: they go on rising
// even if the log were recreated with lower indexes.
//
// A Table is not safe for concurrent use.
type Table struct {
	lastID       uint64 // the highest session id, epoch or leader epoch assigned so far
	leaderEpoch  LeaderEpoch
	sessions     map[cluster.SessionID]*session
	openSessions map[sessionOwner]cluster.SessionID // the inverse of sessions
	leases       map[cluster.Resource]leaseState
}

type sessionOwner struct {
	member      cluster.MemberID
	incarnation Incarnation
}

type session struct {
	sessionOwner
	resources map[cluster.Resource]struct{}
}

func newSession(owner sessionOwner) *session {
	return &session{sessionOwner: owner, resources: map[cluster.Resource]struct{}{}}
}

type leaseState struct {
	session cluster.SessionID // 0: not held
	epoch   cluster.Epoch     // of the last grant, retained after its release
}

// NewTable returns a table without sessions.
func NewTable() *Table {
	return &Table{
		sessions:     map[cluster.SessionID]*session{},
		openSessions: map[sessionOwner]cluster.SessionID{},
		leases:       map[cluster.Resource]leaseState{},
	}
}

// Apply executes one Operation and returns the encoded Result. Errors, each of which changes nothing:
// ErrUnreadable; cluster.ErrNotFound if the session has ended or never existed; cluster.ErrFenced for the
// release of a grant that the session no longer holds; cluster.ErrStale for the end of a session whose expiry
// was found in an earlier leader epoch.
func (t *Table) Apply(index uint64, body []byte) ([]byte, error) {
	op, err := decodeOperation(body)
	if err != nil {
		return nil, err
	}
	if op.Session != 0 && t.sessions[op.Session] == nil {
		return nil, cluster.ErrNotFound
	}
	result := Result{Session: op.Session}
	switch op.Kind {
	case OpOpenSession:
		result.Session = t.openSession(index, sessionOwner{member: op.Member, incarnation: op.Incarnation})
	case OpBeginLeaderEpoch:
		t.leaderEpoch = LeaderEpoch(t.nextID(index))
		result.LeaderEpoch = t.leaderEpoch
	case OpExpireSession:
		if op.LeaderEpoch != t.leaderEpoch {
			return nil, cluster.ErrStale
		}
		t.endSession(op.Session)
	case OpEndSession:
		t.endSession(op.Session)
	case OpAcquire:
		result.Grants = t.acquire(index, op.Session, op.Resources)
	case OpRelease:
		resource := op.Resources[0]
		if t.leases[resource] != (leaseState{session: op.Session, epoch: op.Epoch}) {
			return nil, cluster.ErrFenced
		}
		t.release(resource)
		delete(t.sessions[op.Session].resources, resource)
	}
	return codec.MustMarshal(result), nil
}

// openSession leaves sessions of earlier incarnations of the member to expire: the old process may only be
// stopped, or another one may run from a copy of its folder, and still rely on its session.
func (t *Table) openSession(index uint64, owner sessionOwner) cluster.SessionID {
	if id := t.openSessions[owner]; id != 0 {
		return id
	}
	id := cluster.SessionID(t.nextID(index))
	t.openSessions[owner] = id
	t.sessions[id] = newSession(owner)
	return id
}

func (t *Table) endSession(id cluster.SessionID) {
	ended := t.sessions[id]
	for resource := range ended.resources {
		t.release(resource)
	}
	delete(t.openSessions, ended.sessionOwner)
	delete(t.sessions, id)
}

func (t *Table) release(r cluster.Resource) { t.leases[r] = leaseState{epoch: t.leases[r].epoch} }

// acquire grants what is free. All resources granted by one operation get the same epoch.
func (t *Table) acquire(index uint64, id cluster.SessionID, resources []cluster.Resource) (grants []Grant) {
	var epoch cluster.Epoch
	for _, resource := range resources {
		state := t.leases[resource]
		if state.session == 0 {
			if epoch == 0 {
				epoch = cluster.Epoch(t.nextID(index))
			}
			state = leaseState{session: id, epoch: epoch}
			t.leases[resource] = state
			t.sessions[id].resources[resource] = struct{}{}
		}
		if state.session != id {
			state.epoch = 0
		}
		grants = append(grants, Grant{Resource: resource, Epoch: state.epoch})
	}
	return grants
}

func (t *Table) nextID(index uint64) uint64 {
	t.lastID = max(index, t.lastID+1)
	return t.lastID
}

// Holder returns the holder of the lease on a resource; false if it is not held.
func (t *Table) Holder(r cluster.Resource) (cluster.LeaseHolder, bool) {
	state := t.leases[r]
	if state.session == 0 {
		return cluster.LeaseHolder{}, false
	}
	return cluster.LeaseHolder{
		Session: state.session,
		Member:  t.sessions[state.session].member,
		Epoch:   state.epoch,
	}, true
}

// IsCurrent reports whether the lease on a resource is held by the grant with this epoch.
func (t *Table) IsCurrent(r cluster.Resource, e cluster.Epoch) bool {
	state := t.leases[r]
	return state.session != 0 && state.epoch == e
}

// LastEpoch returns the epoch of the resource's last grant, held or released; 0 if it was never granted.
func (t *Table) LastEpoch(r cluster.Resource) cluster.Epoch { return t.leases[r].epoch }

// Sessions returns the open sessions, oldest first.
func (t *Table) Sessions() []cluster.SessionID { return slices.Sorted(maps.Keys(t.sessions)) }

// LeaderEpoch returns the current leader epoch; 0 before the first one.
func (t *Table) LeaderEpoch() LeaderEpoch { return t.leaderEpoch }

// MemberOf returns the member that opened a session; "" if it has ended or never existed.
func (t *Table) MemberOf(id cluster.SessionID) cluster.MemberID {
	if s := t.sessions[id]; s != nil {
		return s.member
	}
	return ""
}

// ResourcesOf returns the resources that a session holds, sorted; none if it has ended.
func (t *Table) ResourcesOf(id cluster.SessionID) []cluster.Resource {
	if s := t.sessions[id]; s != nil {
		return slices.Sorted(maps.Keys(s.resources))
	}
	return nil
}

// GrantsOf returns the grants that a session holds, sorted by resource.
func (t *Table) GrantsOf(id cluster.SessionID) (grants []Grant) {
	for _, resource := range t.ResourcesOf(id) {
		grants = append(grants, Grant{Resource: resource, Epoch: t.leases[resource].epoch})
	}
	return grants
}

// Digest returns the digest of the grants that a session holds, for comparison with Holder.Digest.
func (t *Table) Digest(id cluster.SessionID) (sum Digest) {
	if s := t.sessions[id]; s != nil {
		for resource := range s.resources {
			sum += digestOf(resource, t.leases[resource].epoch)
		}
	}
	return sum
}

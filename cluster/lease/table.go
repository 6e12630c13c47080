package lease

import (
	"maps"
	"slices"

	"rowanlink/cluster"
)

// Table is the replicated state of leases: the open sessions, the leases that they hold, and the last epoch of each
// resource. It contains no times; ExpiryTracker has those. Session ids and epochs are log indexes, but never fall:
// they keep rising even if the log is recreated with lower indexes.
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

// Apply executes an encoded Operation, the log entry with the given index, and returns the encoded Result. If it
// returns an error, nothing has changed:
//   - ErrUnreadable: the operation can't be decoded or is invalid.
//   - cluster.ErrNotFound: the session has ended or never existed.
//   - cluster.ErrFenced: the session no longer holds the grant that it releases.
//   - cluster.ErrStale: the expiry of the session was found in an earlier leader epoch.
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

// openSession returns the open session of a member's incarnation, or opens one. Sessions of earlier incarnations are
// left to expire: the old process may only be paused, or another process may run from a copy of its data folder, and
// either still relies on its session.
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

// acquire grants the leases that are free. All resources granted by one operation get the same epoch; a lease that
// another session holds is returned with epoch 0.
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

// IsCurrent reports whether the lease on a resource is held under the grant with this epoch.
func (t *Table) IsCurrent(r cluster.Resource, e cluster.Epoch) bool {
	state := t.leases[r]
	return state.session != 0 && state.epoch == e
}

// LastEpoch returns the epoch of the resource's last grant, whether it is held or released; 0 if the lease was never
// granted.
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

package lease

import (
	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// Holder is a member's own view of its session: until when it may act, and by which epochs. Each process begins
// with a new one. Its times are of the member's own clock. Its answers must not be cached: call IsValid or Epoch
// before an action and again before the action's last byte.
type Holder struct {
	usableTTL      api.Micros // the part of a TTL that is safe to use even if this clock is slow and the leader's fast
	session        cluster.SessionID
	deadline       api.Micros
	newestSession  cluster.SessionID // the highest ever confirmed
	endedUpTo      cluster.SessionID // sessions up to this one were ended by the member and are not confirmed again
	renewalCount   uint64
	voidUpTo       uint64 // renewals up to this one were started before a rejection and are void
	lastRenewalAt  api.Micros
	renewalPending bool // the last renewal was not confirmed yet
	epochs         map[cluster.Resource]cluster.Epoch
	relinquished   map[cluster.Resource]cluster.Epoch // epochs that late results must not bring back
}

// Renewal is one request to open or renew a session. The session is valid from when the request was started.
type Renewal struct {
	number    uint64
	startedAt api.Micros
}

// clockReadingError is how much a duration may be off because two readings are in whole microseconds.
const clockReadingError = 2

// NewHolder returns a holder without a session. clockDrift is the maximal difference of rate, as a share from 0
// to below 1, of a clock from true time or of two clocks from each other. The TTL must be the raft nodes'.
//
// When a slow clock shows usableTTL, at most usableTTL/(1-clockDrift) has passed; a leader with a fast clock
// ends the session after ttl/(1+clockDrift). The former must be less.
func NewHolder(ttl api.Micros, clockDrift float64) *Holder {
	return &Holder{usableTTL: api.Micros(float64(ttl)*(1-clockDrift)/(1+clockDrift)) - clockReadingError}
}

// StartRenewal is called before each request to open or renew a session is sent, with the time read before that.
func (h *Holder) StartRenewal(now api.Micros) Renewal {
	h.renewalCount++
	h.lastRenewalAt = now
	h.renewalPending = true
	return Renewal{number: h.renewalCount, startedAt: now}
}

// ConfirmRenewal records that a raft node has opened or renewed this session. Responses may come late, twice or
// out of order; none extends the session beyond one TTL from the start of its own request. It returns false if
// the response was ignored.
func (h *Holder) ConfirmRenewal(r Renewal, s cluster.SessionID) bool {
	if r.number <= h.voidUpTo || s < h.newestSession || s <= h.endedUpTo {
		return false
	}
	if s > h.newestSession { // the previous session has ended, or this one would not have been opened
		h.newestSession = s
		h.deadline = 0
		h.epochs = map[cluster.Resource]cluster.Epoch{}
		h.relinquished = map[cluster.Resource]cluster.Epoch{}
	}
	h.session = s
	h.deadline = max(h.deadline, r.startedAt+h.usableTTL)
	if r.number == h.renewalCount {
		h.renewalPending = false
	}
	return true
}

// HandleRejection records that a raft node rejected a request of the session, as it has ended or is being ended.
// The holder stops at once, and only a renewal started from now on can yield a session. The rejection of an
// earlier session is ignored.
func (h *Holder) HandleRejection(s cluster.SessionID) {
	if s != h.session {
		return
	}
	h.session = 0
	h.deadline = 0
	h.voidUpTo = h.renewalCount
	clear(h.epochs)
}

// EndSession stops the holder and returns the session that the member then has to end in the log. A process that
// continues needs a new incarnation for its next session: with the old one it could be given the same session,
// and the end could be applied after that.
func (h *Holder) EndSession() cluster.SessionID {
	s := h.session
	h.endedUpTo = max(h.endedUpTo, s)
	h.HandleRejection(s)
	return s
}

// Session returns the session that was last confirmed, valid or not; 0: none, one has to be opened.
func (h *Holder) Session() cluster.SessionID { return h.session }

// IsValid reports whether the session is surely open: no raft node has let it expire, as long as the clocks stay
// within the drift.
func (h *Holder) IsValid(now api.Micros) bool { return h.session != 0 && now < h.deadline }

// Deadline returns when IsValid becomes false if no renewal is confirmed before; 0 without a session.
func (h *Holder) Deadline() api.Micros { return h.deadline }

// NextRenewalAt returns when to start the next renewal: a third of the usable TTL after one that was confirmed,
// a sixth after one that was not, so that three may be lost before the session is. 0, at once, before the first.
func (h *Holder) NextRenewalAt() api.Micros {
	switch {
	case h.renewalCount == 0:
		return 0
	case h.renewalPending || h.session == 0:
		return h.lastRenewalAt + h.usableTTL/6
	default:
		return h.lastRenewalAt + h.usableTTL/3
	}
}

// AddGrant records a grant from the result of a request of session s. It returns false if another session holds
// the lease, or if the result is outdated: of an earlier session, or of a grant that was relinquished since. If
// the latter recurs, its release was lost and has to be proposed again. Epoch reports whether the grant may be
// used.
func (h *Holder) AddGrant(s cluster.SessionID, g Grant) bool {
	lowest := max(h.relinquished[g.Resource]+1, h.epochs[g.Resource])
	if s == 0 || s != h.session || g.Epoch < lowest {
		return false
	}
	h.epochs[g.Resource] = g.Epoch
	return true
}

// Relinquish gives up one lease, before its release is proposed with the epoch returned; false if it is not held.
func (h *Holder) Relinquish(r cluster.Resource) (cluster.Epoch, bool) {
	epoch, held := h.epochs[r]
	if held {
		delete(h.epochs, r)
		h.relinquished[r] = epoch
	}
	return epoch, held
}

// Epoch returns the epoch by which the member may act on the resource now; false if it may not.
func (h *Holder) Epoch(r cluster.Resource, now api.Micros) (cluster.Epoch, bool) {
	epoch, held := h.epochs[r]
	return epoch, held && h.IsValid(now)
}

// Digest returns the digest of all grants recorded here, for comparison with Table.Digest.
func (h *Holder) Digest() (sum Digest) {
	for resource, epoch := range h.epochs {
		sum += digestOf(resource, epoch)
	}
	return sum
}

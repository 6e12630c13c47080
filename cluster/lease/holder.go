package lease

import (
	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// Holder is a member's view of its own session: the time until which the member may act, and the epochs of the leases
// that it holds. Each process starts with a new Holder. Times are from the member's own clock. Results must not be
// cached: call IsValid or Epoch before an action, and again before the last byte of the action is sent.
type Holder struct {
	usableTTL      api.Micros // safe to use even if this clock is slow and the leader's is fast
	session        cluster.SessionID
	deadline       api.Micros
	newestSession  cluster.SessionID // the highest session ever confirmed
	endedUpTo      cluster.SessionID // sessions up to this one, which the member has ended, are never confirmed again
	renewalCount   uint64
	voidUpTo       uint64 // renewals up to this one were started before a rejection and are ignored
	lastRenewalAt  api.Micros
	renewalPending bool // the last renewal has not been confirmed yet
	epochs         map[cluster.Resource]cluster.Epoch
	relinquished   map[cluster.Resource]cluster.Epoch // epochs given up, which late results must not restore
}

// Renewal is one request to open or renew a session. Once it is confirmed, the validity of the session counts from
// startedAt, a time before the request was sent.
type Renewal struct {
	number    uint64
	startedAt api.Micros
}

// clockReadingError is the largest error, in microseconds, of a duration between two clock readings that are in whole
// microseconds.
const clockReadingError = 2

// NewHolder returns a holder without a session. clockDrift is the largest relative difference between the rate of a
// clock and that of true time, and between the rates of two clocks; it is at least 0 and below 1. ttl must be the same
// as at the raft nodes.
//
// While a slow clock measures usableTTL, at most usableTTL/(1-clockDrift) of true time passes. A leader with a fast
// clock may end the session after ttl/(1+clockDrift) of true time. The former must be less, so that the holder stops
// first.
func NewHolder(ttl api.Micros, clockDrift float64) *Holder {
	return &Holder{usableTTL: api.Micros(float64(ttl)*(1-clockDrift)/(1+clockDrift)) - clockReadingError}
}

// StartRenewal returns the renewal for a request to open or renew a session. It must be called before the request is
// sent, with the current time.
func (h *Holder) StartRenewal(now api.Micros) Renewal {
	h.renewalCount++
	h.lastRenewalAt = now
	h.renewalPending = true
	return Renewal{number: h.renewalCount, startedAt: now}
}

// ConfirmRenewal records the response of a raft node that it has opened or renewed session s. Responses may arrive
// late, twice or out of order; none extends the session beyond one TTL from the start of its own request. It returns
// false if the response was ignored.
func (h *Holder) ConfirmRenewal(r Renewal, s cluster.SessionID) bool {
	if r.number <= h.voidUpTo || s < h.newestSession || s <= h.endedUpTo {
		return false
	}
	if s > h.newestSession { // the previous session has ended: otherwise this one would not have been opened
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

// HandleRejection records that a raft node rejected a request of session s because the session has ended or is being
// ended. The holder becomes invalid at once, and only a renewal that is started afterwards can make it valid again. A
// rejection of an earlier session is ignored.
func (h *Holder) HandleRejection(s cluster.SessionID) {
	if s != h.session {
		return
	}
	h.session = 0
	h.deadline = 0
	h.voidUpTo = h.renewalCount
	clear(h.epochs)
}

// EndSession makes the holder invalid and returns the session, which the member must then end in the log. A process
// that continues needs a new incarnation for its next session: a request to open one with the old incarnation could
// return the same session, and the entry that ends it could be applied afterwards.
func (h *Holder) EndSession() cluster.SessionID {
	s := h.session
	h.endedUpTo = max(h.endedUpTo, s)
	h.HandleRejection(s)
	return s
}

// Session returns the session that was confirmed last, even if it is no longer valid; 0 if there is none and the
// member has to open one.
func (h *Holder) Session() cluster.SessionID { return h.session }

// IsValid reports whether the session is certainly open: no raft node has let it expire, as long as the clocks stay
// within the clockDrift given to NewHolder.
func (h *Holder) IsValid(now api.Micros) bool { return h.session != 0 && now < h.deadline }

// Deadline returns the time at which IsValid becomes false unless a renewal is confirmed before; 0 without a session.
func (h *Holder) Deadline() api.Micros { return h.deadline }

// NextRenewalAt returns when to start the next renewal: a third of the usable TTL after the last one if that was
// confirmed, a sixth if it was not, so that three renewals in a row may be lost before the session is
// lost. Before the first renewal it returns 0, which means at once.
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

// AddGrant records a grant from the result of a request by session s. It returns false if another session holds the
// lease, or if the result is outdated: it is of an earlier session, or the grant has been relinquished since. If a
// relinquished grant is reported again, its release was lost and must be proposed again. Whether the grant may be
// used is reported by Epoch, not by AddGrant.
func (h *Holder) AddGrant(s cluster.SessionID, g Grant) bool {
	lowest := max(h.relinquished[g.Resource]+1, h.epochs[g.Resource])
	if s == 0 || s != h.session || g.Epoch < lowest {
		return false
	}
	h.epochs[g.Resource] = g.Epoch
	return true
}

// Relinquish gives up one lease and returns its epoch, with which the caller then proposes the release. It returns
// false if the lease is not held.
func (h *Holder) Relinquish(r cluster.Resource) (cluster.Epoch, bool) {
	epoch, held := h.epochs[r]
	if held {
		delete(h.epochs, r)
		h.relinquished[r] = epoch
	}
	return epoch, held
}

// Epoch returns the epoch under which the member may act on the resource now; false if it may not.
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

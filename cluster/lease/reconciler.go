package lease

import (
	"errors"
	"maps"
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// Reconciler brings the leases that a member holds in line with those that it requests. It decides what to propose
// next, and tracks which proposals the raft nodes are known to have applied. Messages may be lost, duplicated or
// late. Therefore a proposal that is not known to be applied is made again, and ReconcileGrants repairs differences
// between the member's state and the log.
type Reconciler struct {
	holder        *Holder
	retryInterval api.Micros
	requested     map[cluster.Resource]request
	releasing     map[cluster.Resource]releasedGrant // given up by the member, but not known to be released in the log
}

// request is the state of one requested resource.
type request struct {
	blocked   bool       // another session held the lease at the last attempt
	blockedAt api.Micros // when that was
}

type releasedGrant struct {
	session cluster.SessionID
	epoch   cluster.Epoch
}

// Proposal is what the member has to propose next: a release if Release is set, else the acquisition of Acquire.
type Proposal struct {
	Session cluster.SessionID
	Release cluster.Resource
	Epoch   cluster.Epoch // of the grant to release
	Acquire []cluster.Resource
}

// HasWork reports whether there is anything to propose.
func (p Proposal) HasWork() bool { return p.Release != "" || len(p.Acquire) > 0 }

// Command returns the proposal as a command for the log.
func (p Proposal) Command() cluster.Command {
	if p.Release != "" {
		return ReleaseLease(p.Session, p.Release, p.Epoch)
	}
	return AcquireLeases(p.Session, p.Acquire...)
}

// NewReconciler returns a reconciler without requests. A request that is blocked, since another session holds the
// lease, is retried after retryInterval by the member's clock, even if no raft node has reported that the lease was
// released.
func NewReconciler(h *Holder, retryInterval api.Micros) *Reconciler {
	return &Reconciler{
		holder:        h,
		retryInterval: retryInterval,
		requested:     map[cluster.Resource]request{},
		releasing:     map[cluster.Resource]releasedGrant{},
	}
}

// Request makes the reconciler acquire the lease on a resource and keep it until Release is called. It returns false
// if the resource is already requested.
func (c *Reconciler) Request(r cluster.Resource) bool {
	if _, known := c.requested[r]; known {
		return false
	}
	c.requested[r] = request{}
	return true
}

// Release gives up the lease on a resource at once. If the lease has been granted but the member does not know that
// yet, HandleResult or ReconcileGrants releases it later.
func (c *Reconciler) Release(r cluster.Resource) {
	delete(c.requested, r)
	if epoch, held := c.holder.Relinquish(r); held {
		c.releasing[r] = releasedGrant{session: c.holder.Session(), epoch: epoch}
	}
}

// CancelRequest drops a request for which no grant is known. A granted one needs Release, even if the session is past
// its deadline: the session may become valid again, and calls under the lease may be in flight.
func (c *Reconciler) CancelRequest(r cluster.Resource) {
	if _, granted := c.holder.epochs[r]; !granted {
		delete(c.requested, r)
	}
}

// Requested returns the requested resources, sorted.
func (c *Reconciler) Requested() []cluster.Resource { return slices.Sorted(maps.Keys(c.requested)) }

// RetryAll unblocks all requests, so that those without a lease are proposed for a new session at once.
func (c *Reconciler) RetryAll() {
	for r := range c.requested {
		c.requested[r] = request{}
	}
}

// NextProposal returns the next proposal to make now, the zero value if there is none. Releases come before
// acquisitions, since no other member is granted a lease before its release is applied. Without a valid session there
// is nothing to propose; outstanding releases and acquisitions are returned once the session is valid again.
func (c *Reconciler) NextProposal(now api.Micros) Proposal {
	if !c.holder.IsValid(now) {
		return Proposal{}
	}
	if len(c.releasing) > 0 {
		first := slices.Min(slices.Collect(maps.Keys(c.releasing)))
		grant := c.releasing[first]
		return Proposal{Session: grant.session, Release: first, Epoch: grant.epoch}
	}
	p := Proposal{Session: c.holder.Session()}
	for _, r := range c.Requested() {
		if c.isDue(r, now) && len(p.Acquire) < maxResources {
			p.Acquire = append(p.Acquire, r)
		}
	}
	return p
}

// isDue reports whether the lease on a requested resource is not held and its acquisition may be proposed now.
func (c *Reconciler) isDue(r cluster.Resource, now api.Micros) bool {
	if _, held := c.holder.Epoch(r, now); held {
		return false
	}
	state := c.requested[r]
	return !state.blocked || now-state.blockedAt >= c.retryInterval
}

// NextRetryAt returns when the next blocked request is due, so that NextProposal may have work although nothing else
// has happened. It returns false if no request is blocked.
func (c *Reconciler) NextRetryAt() (at api.Micros, scheduled bool) {
	for _, state := range c.requested {
		if !state.blocked {
			continue
		}
		if retryAt := state.blockedAt + c.retryInterval; !scheduled || retryAt < at {
			at = retryAt
			scheduled = true
		}
	}
	return at, scheduled
}

// HandleResult processes the grants in the result of an acquisition by session s. It reports whether any of these
// requests is blocked now; see Blocked.
func (c *Reconciler) HandleResult(s cluster.SessionID, grants []Grant, now api.Micros) (blocked bool) {
	for _, g := range grants {
		if g.Err() == nil {
			c.reconcileGrant(s, g)
			continue
		}
		// A rejection of a request by an earlier session is ignored: the session that held the lease then may have
		// ended since, or be the current one.
		_, isRequested := c.requested[g.Resource]
		_, isGranted := c.holder.epochs[g.Resource]
		if isRequested && !isGranted && s == c.holder.Session() {
			c.requested[g.Resource] = request{blocked: true, blockedAt: now}
			blocked = true
		}
	}
	return blocked
}

// ReconcileGrants processes the grants that session s holds according to a raft node's table. It recovers a grant
// whose result was lost, even if another raft node, whose table was older, has since reported that the lease is held
// by another session.
// It releases a grant that was applied after the member had given up the lease: otherwise no other member could
// acquire a lease that this one does not use.
func (c *Reconciler) ReconcileGrants(s cluster.SessionID, grants []Grant) {
	for _, g := range grants {
		if g.Err() == nil {
			c.reconcileGrant(s, g)
		}
	}
}

// reconcileGrant adds a grant to the holder. It releases the grant instead if the resource is not requested, or if
// the member has already given up this grant and the release was lost. Grants of other sessions and grants that are
// older than one known for the resource are ignored.
func (c *Reconciler) reconcileGrant(s cluster.SessionID, g Grant) {
	isOutdated := g.Epoch < max(c.holder.epochs[g.Resource], c.holder.relinquished[g.Resource])
	if s != c.holder.Session() || isOutdated {
		return
	}
	_, isRequested := c.requested[g.Resource]
	if c.holder.AddGrant(s, g) && isRequested {
		c.requested[g.Resource] = request{}
		return
	}
	// The holder must remember that the grant was given up: otherwise a late result would restore it while its
	// release is in flight.
	c.holder.Relinquish(g.Resource)
	c.releasing[g.Resource] = releasedGrant{session: s, epoch: g.Epoch}
}

// HandleReleaseResult processes the outcome of a proposed release. It returns false if the release must be proposed
// again.
func (c *Reconciler) HandleReleaseResult(p Proposal, err error) bool {
	if err != nil && !errors.Is(err, cluster.ErrFenced) && !errors.Is(err, cluster.ErrNotFound) {
		return false
	}
	// The release was applied, by this proposal or an earlier one, or the session has ended and with it all its leases.
	if c.releasing[p.Release] == (releasedGrant{session: p.Session, epoch: p.Epoch}) {
		delete(c.releasing, p.Release)
	}
	return true
}

// Blocked returns the requested resources that other sessions held at the last attempt, sorted.
func (c *Reconciler) Blocked() (blocked []cluster.Resource) {
	for _, r := range c.Requested() {
		if c.requested[r].blocked {
			blocked = append(blocked, r)
		}
	}
	return blocked
}

// HandleFreed processes a raft node's report that leases were released. It reports whether any of them is requested
// and blocked, and so can be proposed now.
func (c *Reconciler) HandleFreed(resources []cluster.Resource) (unblocked bool) {
	for _, r := range resources {
		if c.requested[r].blocked {
			c.requested[r] = request{}
			unblocked = true
		}
	}
	return unblocked
}

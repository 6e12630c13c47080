package lease

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/cluster/timing"
	"rowanlink/webhook/api"
)

// start starts a new incarnation of the member, which requests leases on the given resources.
func (sm *simulatedMember) start(requested []cluster.Resource) {
	sm.incarnation++
	sm.holder = NewHolder(simulationTTL, 0)
	sm.proposalUntil = 0
	sm.pollUntil = 0
	sm.stoppedUntil = 0
	retryInterval := timing.AcquireRetryInterval(simulationTTL)
	if sm.mutation.neverRetry {
		retryInterval = api.Second << 40
	}
	sm.reconciler = NewReconciler(sm.holder, retryInterval)
	for _, resource := range requested {
		sm.reconciler.Request(resource)
	}
}

// deliver makes a member process a message as soon as it is not paused, unless a new incarnation has started by then.
func (sm *simulatedMember) deliver(incarnation Incarnation, f func()) {
	switch {
	case sm.incarnation != incarnation:
	case sm.now < sm.stoppedUntil:
		sm.after(sm.stoppedUntil-sm.now, func() { sm.deliver(incarnation, f) })
	default:
		f()
	}
}

// reply sends a message to the member.
func (sm *simulatedMember) reply(incarnation Incarnation, f func()) {
	sm.send(func() { sm.deliver(incarnation, f) })
}

// tick does the work of a member's three loops: renewals, proposals and polls for released leases.
func (sm *simulatedMember) tick() {
	sm.after(tickInterval, sm.tick)
	if sm.now < sm.stoppedUntil {
		return
	}
	if sm.now >= sm.holder.NextRenewalAt() {
		sm.renew(sm.incarnation, sm.holder.StartRenewal(sm.now), sm.holder.Session(), sm.holder.Digest())
	}
	if p := sm.reconciler.NextProposal(sm.now); p.HasWork() && sm.now >= sm.proposalUntil {
		sm.proposalUntil = sm.now + timing.LoggedRequestTimeout(simulationTTL)
		sm.propose(sm.incarnation, p, sm.proposalUntil)
	}
	if resources := sm.reconciler.Blocked(); len(resources) > 0 && sm.now >= sm.pollUntil && !sm.noNotifications {
		sm.pollUntil = sm.now + timing.LongPollTimeout(simulationTTL) + timing.RequestTimeout(simulationTTL)
		sm.poll(sm.incarnation, resources, sm.pollUntil)
	}
}

func (sm *simulatedMember) renew(incarnation Incarnation, renewal Renewal, s cluster.SessionID, digest Digest) {
	k := sm.pickNode()
	sm.send(func() {
		switch {
		case !sm.isLeading(k):
		case s == 0:
			result, err := sm.apply(OpenSession(sm.id, incarnation))
			if err == nil && sm.tracker.AddOrRenew(result.Session, sm.now) {
				sm.reply(incarnation, func() { sm.handleConfirmation(renewal, result.Session) })
			}
		case sm.tracker.Renew(s, sm.now):
			var grants []Grant
			if table := sm.nodes[k].table; table.Digest(s) != digest && !sm.mutation.omitGrants {
				grants = table.GrantsOf(s)
			}
			sm.reply(incarnation, func() {
				sm.handleConfirmation(renewal, s)
				sm.reconciler.ReconcileGrants(s, grants)
			})
		default:
			sm.reply(incarnation, func() { sm.holder.HandleRejection(s) })
		}
	})
}

func (sm *simulatedMember) handleConfirmation(renewal Renewal, s cluster.SessionID) {
	if before := sm.holder.Session(); sm.holder.ConfirmRenewal(renewal, s) && before != s {
		sm.reconciler.RetryAll()
	}
}

// propose sends a proposal. The member ignores a result that arrives after until.
func (sm *simulatedMember) propose(incarnation Incarnation, p Proposal, until api.Micros) {
	k := sm.pickNode()
	sm.send(func() {
		var result Result
		var err error
		rejected := sm.rejectWithoutEntry(k, p)
		switch {
		case len(rejected) > 0:
			result.Grants = rejected
		case sm.isLeading(k):
			result, err = sm.apply(p.Command())
		default:
			return
		}
		sm.reply(incarnation, func() {
			if sm.now >= until || sm.proposalUntil != until {
				return
			}
			switch sm.proposalUntil = sm.now; {
			case p.Release != "":
				sm.reconciler.HandleReleaseResult(p, err)
			case err != nil:
				sm.holder.HandleRejection(p.Session)
			default:
				sm.reconciler.HandleResult(p.Session, result.Grants, sm.now)
			}
		})
	})
}

// rejectWithoutEntry returns the rejection that a raft node gives without a log entry, because other sessions hold
// all the leases. The node leads, or only believes so.
func (sm *simulatedMember) rejectWithoutEntry(k int, p Proposal) (rejected []Grant) {
	node := sm.nodes[k]
	if p.Release != "" || !sm.isLeading(k) && node.stalledUntil <= sm.now || node.table.MemberOf(p.Session) == "" {
		return nil
	}
	for _, resource := range p.Acquire {
		if holder, held := node.table.Holder(resource); !held || holder.Session == p.Session {
			return nil
		}
		rejected = append(rejected, Grant{Resource: resource})
	}
	return rejected
}

func (sm *simulatedMember) poll(incarnation Incarnation, resources []cluster.Resource, until api.Micros) {
	k := sm.nextNode % len(sm.nodes)
	var poll func()
	poll = func() {
		table := sm.catchUp(k)
		var free []cluster.Resource
		for _, resource := range resources {
			if _, held := table.Holder(resource); !held {
				free = append(free, resource)
			}
		}
		if len(free) == 0 && sm.now < until {
			sm.after(tickInterval, poll)
			return
		}
		sm.reply(incarnation, func() {
			if sm.pollUntil != until {
				return
			}
			if sm.pollUntil = sm.now; !sm.reconciler.HandleFreed(free) {
				sm.nextNode++
			}
		})
	}
	sm.nextNode++
	sm.send(poll)
}

// check runs the simulation until some time after its faults have ended. It returns what is wrong then, or "".
func (si *simulation) check() string {
	si.run(20 * simulationTTL)
	for i := range si.nodes {
		si.nodes[i].stalledUntil = 0
	}
	si.faulty = false
	si.electionUntil = 0
	for _, sm := range si.members {
		sm.stoppedUntil = 0
	}
	si.run(si.now + simulationTTL + acquiredWithin*simulationTTL) // until the last late message, then the bound
	for _, resource := range simulationResources {
		requests := func(sm *simulatedMember) bool { return slices.Contains(sm.reconciler.Requested(), resource) }
		requested := slices.ContainsFunc(si.members, requests)
		holder, held := si.nodes[si.leader].table.Holder(resource)
		switch all := si.holders(resource); {
		case si.violation != "":
		case requested && len(all) == 0:
			si.violation = string(resource) + " is requested and not held; by the log it is held by " + string(holder.Member)
		case !requested && held:
			si.violation = string(resource) + " is requested by nobody, and by the log held by " + string(holder.Member)
		case requested && (!held || all[0].id != holder.Member || !requests(all[0])):
			si.violation = string(resource) + " is held by a member that does not request it, or that the log does not name"
		case requested && holder.Epoch != all[0].holder.epochs[resource]:
			si.violation = string(resource) + " is held with another epoch than the log's"
		}
	}
	return si.violation
}

// acquiredWithin is the number of TTLs after the last late message in which a requested, free lease is acquired.
const acquiredWithin = 2

// After any faults of messages, members and raft nodes have ended, no lease stays free although it is requested, or
// is held by a member that does not request it. At no time does a lease have two holders.
func TestSimulation_RequestedLeaseIsAcquired(t *testing.T) {
	for seed := range uint64(300 * (1 + extraDepth)) {
		require.Empty(t, newSimulation(seed, simulationMutation{}).check(), "seed %d", seed)
	}
	for name, mutation := range map[string]simulationMutation{
		"grants of a session are not reported": {omitGrants: true},
		"blocked requests are not retried":     {neverRetry: true},
	} {
		assert.True(t, slices.ContainsFunc(seeds(100), func(seed uint64) bool {
			return newSimulation(seed, mutation).check() != ""
		}), name)
	}
}

func seeds(n uint64) (all []uint64) {
	for seed := range n {
		all = append(all, seed)
	}
	return all
}

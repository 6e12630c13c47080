package lease

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// holderWithGrant returns a holder in session 5 and its reconciler. The lease on home/1 is requested and granted with
// epoch 9.
func holderWithGrant() (*Holder, *Reconciler) {
	holder := NewHolder(simulationTTL, 0)
	reconciler := NewReconciler(holder, simulationTTL)
	holder.ConfirmRenewal(holder.StartRenewal(0), 5)
	reconciler.Request("home/1")
	reconciler.HandleResult(5, []Grant{{"home/1", 9}}, 0)
	return holder, reconciler
}

// Guards against giving up a lease because a result from before its grant arrives late.
func TestReconciler_IgnoresOutdatedGrants(t *testing.T) {
	holder, reconciler := holderWithGrant()
	reconciler.ReconcileGrants(5, []Grant{{"home/1", 7}})
	e, ok := holder.Epoch("home/1", 1)
	require.True(t, ok)
	require.EqualValues(t, 9, e)
	require.False(t, reconciler.NextProposal(1).HasWork())
}

// Guards against a session that does not request a lease because another held it when the previous session requested
// it.
func TestReconciler_IgnoresBlockedOfEarlierSession(t *testing.T) {
	holder, reconciler := holderWithGrant()
	reconciler.Request("home/2")
	holder.ConfirmRenewal(holder.StartRenewal(1), 20)
	reconciler.RetryAll()
	reconciler.HandleResult(5, []Grant{{Resource: "home/1"}, {Resource: "home/2"}}, 2)
	require.Equal(t, Proposal{Session: 20, Acquire: []cluster.Resource{"home/1", "home/2"}}, reconciler.NextProposal(2))
}

// Guards against requesting a blocked lease continuously, and against never requesting it again.
func TestReconciler_RetriesBlockedWhenFreedOrDue(t *testing.T) {
	_, reconciler := holderWithGrant()
	reconciler.Request("home/2")
	require.True(t, reconciler.HandleResult(5, []Grant{{Resource: "home/2"}}, 10))
	require.Equal(t, []cluster.Resource{"home/2"}, reconciler.Blocked())
	at, some := reconciler.NextRetryAt()
	require.True(t, some)
	require.Equal(t, api.Micros(10+simulationTTL), at)
	require.False(t, reconciler.NextProposal(20).HasWork())
	require.False(t, reconciler.HandleFreed([]cluster.Resource{"home/1", "home/3"}))
	require.True(t, reconciler.HandleFreed([]cluster.Resource{"home/2"}))
	require.Equal(t, []cluster.Resource{"home/2"}, reconciler.NextProposal(20).Acquire)
}

// Guards against dropping a lease that is granted, while calls are in flight, only because a member is late with its
// renewal.
func TestReconciler_CancelsRequestWithoutGrant(t *testing.T) {
	holder, reconciler := holderWithGrant()
	reconciler.Request("home/2")
	reconciler.CancelRequest("home/1")
	reconciler.CancelRequest("home/2")
	require.Equal(t, []cluster.Resource{"home/1"}, reconciler.Requested())
	require.False(t, holder.IsValid(2*simulationTTL))
	holder.ConfirmRenewal(holder.StartRenewal(2*simulationTTL), 5)
	_, ok := holder.Epoch("home/1", 2*simulationTTL)
	require.True(t, ok)
	reconciler.ReconcileGrants(5, []Grant{{"home/2", 12}}) // its grant was in flight
	require.Equal(t, Proposal{Session: 5, Release: "home/2", Epoch: 12}, reconciler.NextProposal(2*simulationTTL))
}

package lease

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// held is wishes over a session that has a task by an epoch.
func held(s cluster.SessionID, task cluster.Resource, e cluster.Epoch) (*Holder, *Reconciler) {
	t := NewHolder(hallTerm, 0)
	w := NewReconciler(t, hallTerm)
	t.ConfirmRenewal(t.StartRenewal(0), s)
	w.Request(task)
	w.HandleResult(s, []Grant{{task, e}}, 0)
	return t, w
}

// Guards against a home that is given up since an answer of before it was had comes late.
func TestWhatASessionHeldBeforeTakesNothingFromIt(t *testing.T) {
	tenure, wishes := held(5, "home/1", 9)
	wishes.ReconcileGrants(5, []Grant{{"home/1", 7}})
	e, ok := tenure.Epoch("home/1", 1)
	require.True(t, ok)
	require.EqualValues(t, 9, e)
	require.False(t, wishes.NextProposal(1).HasWork())
}

// Guards against a task that is not asked for by a session since another held it when the one before asked.
func TestANoToAnEarlierSessionDoesNotCountForTheNext(t *testing.T) {
	tenure, wishes := held(5, "home/1", 9)
	wishes.Request("home/2")
	tenure.ConfirmRenewal(tenure.StartRenewal(1), 20)
	wishes.RetryAll()
	wishes.HandleResult(5, []Grant{{Resource: "home/1"}, {Resource: "home/2"}}, 2)
	require.Equal(t, Proposal{Session: 20, Acquire: []cluster.Resource{"home/1", "home/2"}}, wishes.NextProposal(2))
}

// Guards against asking all the time for what another has, and against never asking again.
func TestWhatAnotherHoldsIsAskedForWhenItIsFreeOrAfterAWhile(t *testing.T) {
	_, wishes := held(5, "home/1", 9)
	wishes.Request("home/2")
	require.True(t, wishes.HandleResult(5, []Grant{{Resource: "home/2"}}, 10))
	require.Equal(t, []cluster.Resource{"home/2"}, wishes.Blocked())
	at, some := wishes.NextRetryAt()
	require.True(t, some)
	require.Equal(t, api.Micros(10+hallTerm), at)
	require.False(t, wishes.NextProposal(20).HasWork())
	require.False(t, wishes.HandleFreed([]cluster.Resource{"home/1", "home/3"}))
	require.True(t, wishes.HandleFreed([]cluster.Resource{"home/2"}))
	require.Equal(t, []cluster.Resource{"home/2"}, wishes.NextProposal(20).Acquire)
}

// Guards against a home given up unheard, with calls out, by a member that only was late to renew.
func TestAWishIsDroppedWhereNothingWasGranted(t *testing.T) {
	tenure, wishes := held(5, "home/1", 9)
	wishes.Request("home/2")
	wishes.CancelRequest("home/1")
	wishes.CancelRequest("home/2")
	require.Equal(t, []cluster.Resource{"home/1"}, wishes.Requested())
	require.False(t, tenure.IsValid(2*hallTerm))
	tenure.ConfirmRenewal(tenure.StartRenewal(2*hallTerm), 5)
	_, ok := tenure.Epoch("home/1", 2*hallTerm)
	require.True(t, ok)
	wishes.ReconcileGrants(5, []Grant{{"home/2", 12}}) // its grant was on the way
	require.Equal(t, Proposal{Session: 5, Release: "home/2", Epoch: 12}, wishes.NextProposal(2*hallTerm))
}

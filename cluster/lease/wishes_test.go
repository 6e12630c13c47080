package lease

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// held is wishes over a session that has a task by an epoch.
func held(s cluster.SessionID, task cluster.Task, e cluster.Epoch) (*Tenure, *Wishes) {
	t := NewTenure(hallTerm, 0)
	w := NewWishes(t, hallTerm)
	t.Answered(t.Asked(0), s)
	w.Want(task)
	w.Granted(s, []Granted{{task, e}}, 0)
	return t, w
}

// Guards against a home that is given up since an answer of before it was had comes late.
func TestWhatASessionHeldBeforeTakesNothingFromIt(t *testing.T) {
	tenure, wishes := held(5, "home/1", 9)
	wishes.Has(5, []Granted{{"home/1", 7}})
	e, ok := tenure.Epoch("home/1", 1)
	require.True(t, ok)
	require.EqualValues(t, 9, e)
	require.False(t, wishes.Next(1).Any())
}

// Guards against a task that is not asked for by a session since another held it when the one before asked.
func TestANoToAnEarlierSessionDoesNotCountForTheNext(t *testing.T) {
	tenure, wishes := held(5, "home/1", 9)
	wishes.Want("home/2")
	tenure.Answered(tenure.Asked(1), 20)
	wishes.Anew()
	wishes.Granted(5, []Granted{{Task: "home/1"}, {Task: "home/2"}}, 2)
	require.Equal(t, Proposal{Session: 20, Wanted: []cluster.Task{"home/1", "home/2"}}, wishes.Next(2))
}

// Guards against asking all the time for what another has, and against never asking again.
func TestWhatAnotherHoldsIsAskedForWhenItIsFreeOrAfterAWhile(t *testing.T) {
	_, wishes := held(5, "home/1", 9)
	wishes.Want("home/2")
	require.True(t, wishes.Granted(5, []Granted{{Task: "home/2"}}, 10))
	require.Equal(t, []cluster.Task{"home/2"}, wishes.Waits())
	at, some := wishes.AgainAt()
	require.True(t, some)
	require.Equal(t, api.Micros(10+hallTerm), at)
	require.False(t, wishes.Next(20).Any())
	require.False(t, wishes.Free([]cluster.Task{"home/1", "home/3"}))
	require.True(t, wishes.Free([]cluster.Task{"home/2"}))
	require.Equal(t, []cluster.Task{"home/2"}, wishes.Next(20).Wanted)
}

// Guards against a home given up unheard, with calls out, by a member that only was late to renew.
func TestAWishIsDroppedWhereNothingWasGranted(t *testing.T) {
	tenure, wishes := held(5, "home/1", 9)
	wishes.Want("home/2")
	wishes.Unwant("home/1")
	wishes.Unwant("home/2")
	require.Equal(t, []cluster.Task{"home/1"}, wishes.Wanted())
	require.False(t, tenure.Holds(2*hallTerm))
	tenure.Answered(tenure.Asked(2*hallTerm), 5)
	_, ok := tenure.Epoch("home/1", 2*hallTerm)
	require.True(t, ok)
	wishes.Has(5, []Granted{{"home/2", 12}}) // its grant was on the way
	require.Equal(t, Proposal{Session: 5, Let: "home/2", Epoch: 12}, wishes.Next(2*hallTerm))
}

package session_test

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
)

// A keeper that lost its folder comes in as another server; what was granted stands, and the lost one's vote
// goes: with it and another keeper gone, the rest would have no majority.
func TestAKeeperThatLostItsFolderComesBack(t *testing.T) {
	t.Parallel()
	f := keepers(t, 3, leaseTTL)
	a := f.member("a", "home/1")
	epoch := awaitHeld(t, a, "home/1")
	lost := f.names[0] // the one that began the log
	f.stop(lost)
	require.NoError(t, os.RemoveAll(filepath.Join(f.folders[lost], "fleet")))
	f.start(lost)
	require.Eventually(t, func() bool {
		servers, voters := 0, 0
		for _, v := range f.up[f.leader()].Membership() {
			servers++
			if v {
				voters++
			}
		}
		return servers == 3 && voters == 3 && f.up[lost].LastIndex() > 0 && f.up[lost].IsVoter()
	}, longTimeout, 10*time.Millisecond)
	require.Equal(t, epoch, awaitHeld(t, a, "home/1"))
	f.stop(f.names[1])
	awaitHeld(t, f.member("b", "home/2"), "home/2")
	require.Equal(t, epoch, awaitHeld(t, a, "home/1"))
}

// One of three is behind, the first has lost its folder, the second is down: what the first and the second
// had granted is nobody's to undo. It comes back with the second.
func TestTheVoteOfALostFolderIsNotGivenAgain(t *testing.T) {
	t.Parallel()
	f := keepers(t, 3, leaseTTL)
	awaitHeld(t, f.member("x", "home/0"), "home/0")
	for f.leader() == "m3" {
		f.stop("m3")
		f.leader("m3")
		f.start("m3")
	}
	f.cut("m3", true, f.names...)
	a := f.member("a", "home/1")
	epoch := awaitHeld(t, a, "home/1") // by m1 and m2
	f.stop("m1")
	f.stop("m2")
	require.NoError(t, os.RemoveAll(filepath.Join(f.folders["m1"], "fleet")))
	f.start("m1")
	for _, cut := range []bool{true, false} {
		f.cut("m3", cut, f.names...)
		time.Sleep(2 * time.Second)
		for _, m := range []cluster.MemberID{"m1", "m3"} {
			_, self := f.up[m].Leader()
			require.False(t, self)
		}
	}
	f.start("m2")
	awaitHeld(t, f.member("b", "home/2"), "home/2")
	require.GreaterOrEqual(t, awaitHeld(t, a, "home/1"), epoch)
}

func TestKeepersComeAndGoByTheFile(t *testing.T) {
	t.Parallel()
	f := keepers(t, 3, leaseTTL)
	a := f.member("a", "home/1")
	epoch := awaitHeld(t, a, "home/1")
	f.place("m4")
	gone := f.leader()
	f.names = slices.DeleteFunc(f.names, func(m cluster.MemberID) bool { return m == gone })
	delete(f.logs, gone)
	f.start("m4")
	for m, r := range f.up {
		r.talk.SetAddresses(f.seen(m, f.says))
		r.SetAddresses(f.seen(m, f.logs))
	}
	a.Leader.SetNodes(f.names)
	require.Eventually(t, func() bool {
		servers := f.up[f.leader(gone)].Membership()
		_, still := servers[gone]
		return len(servers) == 3 && !still && servers["m4"]
	}, longTimeout, 10*time.Millisecond)
	f.stop(gone)
	f.stop(f.names[0])
	require.Equal(t, epoch, awaitHeld(t, a, "home/1"))
	awaitHeld(t, f.member("b", "home/2"), "home/2")
}

package member_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/member"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/transport"
)

// Guards against a look that waits for a leader once for each of a member's ranges: meanwhile it lets go of
// none.
func TestALookEndsItsProposalsAtTheFirstThatNoLeaderAnswers(t *testing.T) {
	keeper, a := script(t, func(_ int, real transport.ProposeResponse) (int, []byte) {
		return fasthttp.StatusOK, transport.Encode(real)
	})
	chart := shardmap.New(nil)
	var err error
	chart.Ranges, err = shardmap.EvenRanges(4, []shardmap.MemberWeight{{Member: "a0", Weight: 1}})
	require.NoError(t, err)
	for _, r := range chart.Ranges {
		a.Acquire(cluster.RangeOwnerResource(r.ID))
		holds(t, a, cluster.RangeOwnerResource(r.ID))
	}
	last := &chart.Ranges[3]
	last.Owner = "m2"
	member.Looks("a0", a, chart)()
	keeper.mu.Lock()
	require.Equal(t, 1, keeper.charts)
	keeper.mu.Unlock()
	_, held := a.Holds(cluster.RangeOwnerResource(last.ID))
	require.False(t, held)
}

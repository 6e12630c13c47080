package rebalance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/cluster/rebalance/planfile"
)

func TestQuotas_AreByWeightWithinCapacityAndZone(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want []quota
	}{
		"weights": {`member "a" { weight = 1 }
member "b" { weight = 3 }`, []quota{{2, 2}, {6, 6}}},
		"fractions": {`member "a" {}
member "b" {}
member "c" {}`, []quota{{2, 3}, {2, 3}, {2, 3}}},
		"capacity": {`member "a" { room = 1 }
member "b" {}
member "c" {}`, []quota{{1, 1}, {3, 4}, {3, 4}}},
		"drained": {`member "a" {}
member "b" {}
leave "b" {}`, []quota{{8, 8}, {0, 0}}},
		"zone": {`member "a" { zone = "x" }
member "b" { zone = "x" }
member "c" { zone = "y" }
keep "most" {
  hashes = ["0x0", "0xbfffffffffffffff"]
  zone = "x"
}`, []quota{{3, 3}, {3, 3}, {2, 2}}},
		"a member without weight takes the rest": {`member "a" {
  room = 3
}
member "b" { weight = 0 }`, []quota{{3, 3}, {5, 5}}},
	} {
		t.Run(name, func(t *testing.T) {
			f, err := planfile.Parse([]byte(c.text), "f.hcl")
			require.NoError(t, err)
			p := newProblem(f, newSimulation(t, "a", "a", "a", "a", "a", "a", "a", "a").shards, nil)
			require.NoError(t, p.applyRules())
			assert.Equal(t, c.want, p.quotas())
		})
	}
}

// If rules keep members from their quotas, the deviation is spread: two members deviate by one range each, rather than
// one member by two.
func TestNewPlan_SharesDeviationsFromQuotasEvenly(t *testing.T) {
	text := "member \"a\" {}\nmember \"b\" {}\nmember \"c\" { weight = 0 }\nmember \"d\" { weight = 0 }\n" +
		"apart \"p\" { hashes = [\"0x0\", \"0x5fffffffffffffff\"] }\n" +
		"apart \"q\" { hashes = [\"0x6000000000000000\", \"0xbfffffffffffffff\"] }\n"
	f, err := planfile.Parse([]byte(text), "f.hcl")
	require.NoError(t, err)
	p, err := NewPlan(f, newSimulation(t, "a", "b", "c", "a", "b", "c", "a", "a").shards, nil)
	require.NoError(t, err)
	assert.Equal(t, map[cluster.MemberID]int{"a": 3, "b": 3, "c": 1, "d": 1}, p.RangesPerMember)
}

package leasecheck_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/test/checker/leasecheck"
	"rowanlink/webhook/api"
)

// Guards against a check of homes that can't fail: what is wrong is so in one way.
func TestPastsThatNoHomeCanHaveAreCaught(t *testing.T) {
	p := func(what leasecheck.OwnershipEventKind, who string, epoch uint64, from, until api.Micros, reader ...int) leasecheck.OwnershipEvent {
		return leasecheck.OwnershipEvent{Kind: what, Member: who, Epoch: epoch, From: from, Until: until, Reader: len(reader)}
	}
	const granted, ended, seated, seen = leasecheck.Granted, leasecheck.Ended, leasecheck.Published, leasecheck.Observed
	for name, c := range map[string]struct {
		all  []leasecheck.OwnershipEvent
		good bool
	}{
		"a move": {[]leasecheck.OwnershipEvent{p(granted, "a", 2, 0, 10), p(seated, "a", 2, 10, 12), p(ended, "a", 2, 10, 30),
			p(granted, "b", 5, 0, 31), p(seated, "b", 5, 31, 40), p(seen, "a", 2, 0, 60), p(seen, "b", 5, 0, 50, 1),
			p(seen, "b", 5, 0, 70)}, true},
		"its line comes after the next one's": {[]leasecheck.OwnershipEvent{p(granted, "a", 2, 0, 10), p(ended, "a", 2, 10, 99),
			p(granted, "b", 5, 0, 31)}, true},
		"nothing has ended yet": {[]leasecheck.OwnershipEvent{p(granted, "a", 2, 0, 10),
			p(ended, "a", 2, 10, api.Never)}, true},
		"its own again": {[]leasecheck.OwnershipEvent{p(granted, "a", 2, 0, 10), p(ended, "a", 2, 10, 20),
			p(granted, "a", 2, 10, 30), p(ended, "a", 2, 30, 40), p(granted, "b", 5, 0, 50)}, true},
		"its own again, after the next's": {[]leasecheck.OwnershipEvent{p(granted, "a", 2, 0, 10), p(ended, "a", 2, 10, 20),
			p(granted, "b", 5, 0, 25), p(ended, "b", 5, 25, 27), p(granted, "a", 2, 26, 30)}, false},
		"two holders": {[]leasecheck.OwnershipEvent{p(granted, "a", 2, 0, 10), p(ended, "a", 2, 35, 99),
			p(granted, "b", 5, 0, 31)}, false},
		"an epoch goes back": {[]leasecheck.OwnershipEvent{p(granted, "a", 5, 0, 10), p(ended, "a", 5, 10, 12),
			p(granted, "b", 2, 13, 31)}, false},
		"an epoch twice": {[]leasecheck.OwnershipEvent{p(granted, "a", 5, 0, 10), p(ended, "a", 5, 10, 12),
			p(granted, "b", 5, 13, 31)}, false},
		"seated without a grant": {[]leasecheck.OwnershipEvent{p(granted, "a", 2, 0, 10), p(seated, "b", 2, 10, 12)}, false},
		"seated after the next was granted": {[]leasecheck.OwnershipEvent{p(granted, "a", 2, 0, 10), p(ended, "a", 2, 10, 30),
			p(granted, "b", 5, 0, 31), p(seated, "a", 2, 32, 40)}, false},
		"seen before it was seated": {[]leasecheck.OwnershipEvent{p(granted, "a", 2, 0, 10), p(seated, "a", 2, 10, 12),
			p(seen, "a", 2, 0, 9)}, false},
		"a reader goes back": {[]leasecheck.OwnershipEvent{p(granted, "a", 2, 0, 10), p(seated, "a", 2, 10, 12),
			p(ended, "a", 2, 10, 30), p(granted, "b", 5, 0, 31), p(seated, "b", 5, 31, 40), p(seen, "b", 5, 0, 50),
			p(seen, "a", 2, 51, 60)}, false},
	} {
		could, err := leasecheck.CheckOwnership(c.all, time.Minute)
		require.NoError(t, err)
		assert.Equal(t, c.good, could, name)
	}
}

package leasecheck_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/test/checker/leasecheck"
	"rowanlink/webhook/api"
)

func granted(member string, epoch uint64, from, until api.Micros) leasecheck.OwnershipEvent {
	return leasecheck.OwnershipEvent{Kind: leasecheck.Granted, Member: member, Epoch: epoch, From: from, Until: until}
}

func ended(member string, epoch uint64, from, until api.Micros) leasecheck.OwnershipEvent {
	return leasecheck.OwnershipEvent{Kind: leasecheck.Ended, Member: member, Epoch: epoch, From: from, Until: until}
}

func published(member string, epoch uint64, from, until api.Micros) leasecheck.OwnershipEvent {
	return leasecheck.OwnershipEvent{Kind: leasecheck.Published, Member: member, Epoch: epoch, From: from, Until: until}
}

func observed(reader int, member string, epoch uint64, from, until api.Micros) leasecheck.OwnershipEvent {
	return leasecheck.OwnershipEvent{Kind: leasecheck.Observed, Member: member, Epoch: epoch, Reader: reader,
		From: from, Until: until}
}

// ownershipHistory is a history of one range, and whether it is possible.
type ownershipHistory struct {
	events   []leasecheck.OwnershipEvent
	possible bool
}

// ownershipHistories has, beside possible ones, for each rule of the model one that violates it.
var ownershipHistories = map[string]ownershipHistory{
	"a move": {events: []leasecheck.OwnershipEvent{
		granted("a", 2, 0, 10),
		published("a", 2, 10, 12),
		ended("a", 2, 10, 30),
		granted("b", 5, 0, 31),
		published("b", 5, 31, 40),
		observed(0, "a", 2, 0, 60),
		observed(1, "b", 5, 0, 50),
		observed(0, "b", 5, 0, 70),
	}, possible: true},
	"its end is logged after the next grant": {events: []leasecheck.OwnershipEvent{
		granted("a", 2, 0, 10),
		ended("a", 2, 10, 99),
		granted("b", 5, 0, 31),
	}, possible: true},
	"nothing has ended yet": {events: []leasecheck.OwnershipEvent{
		granted("a", 2, 0, 10),
		ended("a", 2, 10, api.Never),
	}, possible: true},
	"renewed grant": {events: []leasecheck.OwnershipEvent{
		granted("a", 2, 0, 10),
		ended("a", 2, 10, 20),
		granted("a", 2, 10, 30),
		ended("a", 2, 30, 40),
		granted("b", 5, 0, 50),
	}, possible: true},
	"renewed grant after the next one": {events: []leasecheck.OwnershipEvent{
		granted("a", 2, 0, 10),
		ended("a", 2, 10, 20),
		granted("b", 5, 0, 25),
		ended("b", 5, 25, 27),
		granted("a", 2, 26, 30),
	}},
	"two holders": {events: []leasecheck.OwnershipEvent{
		granted("a", 2, 0, 10),
		ended("a", 2, 35, 99),
		granted("b", 5, 0, 31),
	}},
	"an epoch falls": {events: []leasecheck.OwnershipEvent{
		granted("a", 5, 0, 10),
		ended("a", 5, 10, 12),
		granted("b", 2, 13, 31),
	}},
	"the same epoch granted twice": {events: []leasecheck.OwnershipEvent{
		granted("a", 5, 0, 10),
		ended("a", 5, 10, 12),
		granted("b", 5, 13, 31),
	}},
	"published without a grant": {events: []leasecheck.OwnershipEvent{
		granted("a", 2, 0, 10),
		published("b", 2, 10, 12),
	}},
	"published after the next grant": {events: []leasecheck.OwnershipEvent{
		granted("a", 2, 0, 10),
		ended("a", 2, 10, 30),
		granted("b", 5, 0, 31),
		published("a", 2, 32, 40),
	}},
	"observed before it was published": {events: []leasecheck.OwnershipEvent{
		granted("a", 2, 0, 10),
		published("a", 2, 10, 12),
		observed(0, "a", 2, 0, 9),
	}},
	"a reader observes an older owner": {events: []leasecheck.OwnershipEvent{
		granted("a", 2, 0, 10),
		published("a", 2, 10, 12),
		ended("a", 2, 10, 30),
		granted("b", 5, 0, 31),
		published("b", 5, 31, 40),
		observed(0, "b", 5, 0, 50),
		observed(0, "a", 2, 51, 60),
	}},
}

func TestCheckOwnership(t *testing.T) {
	for name, c := range ownershipHistories {
		t.Run(name, func(t *testing.T) {
			possible, err := leasecheck.CheckOwnership(c.events, time.Minute)
			require.NoError(t, err)
			assert.Equal(t, c.possible, possible)
		})
	}
}

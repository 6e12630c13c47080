package core

import (
	"context"
	"time"

	"rowanlink/serving/errcode"
	"rowanlink/serving/rollout"
	"rowanlink/serving/rpc"
	"rowanlink/serving/state"
)

// releaseCheckTimeout bounds the check of the other core members' releases. An operator waits a second.
const releaseCheckTimeout = 250 * time.Millisecond

// checkReleases returns errcode.RolloutReleases if another core member runs a release that doesn't know roll-outs: a
// record that it writes would lack them. Members that don't answer in time don't count; a member of this release that
// runs beside it writes what it has read.
func (c *coreProcess) checkReleases(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, releaseCheckTimeout)
	defer cancel()
	self := c.members.Self().Name
	results := make(chan error)
	calls := 0
	for _, member := range c.members.Members() {
		if member.Role != state.RoleCore || member.Name == self {
			continue
		}
		calls++
		go func() {
			request := &rollout.ReportRequest{Observer: self}
			_, err := rollout.ReportMethod.Call(ctx, c.client, member.Address, request)
			if rpc.IsUnimplemented(err) {
				err = errcode.RolloutReleases.With("%s", member.Name)
			}
			results <- err
		}()
	}
	var found error
	for range calls {
		if err := <-results; errcode.RolloutReleases.Is(err) {
			found = err
		}
	}
	return found
}

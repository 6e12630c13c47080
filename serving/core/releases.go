package core

import (
	"context"
	"net/http"
	"time"

	"rowanlink/serving/errcode"
	"rowanlink/serving/rollout"
	"rowanlink/serving/rpc"
)

// releaseCheckTimeout bounds the check of the other members' releases. An operator waits a second.
const releaseCheckTimeout = 250 * time.Millisecond

// serveSupport serves rollout.SupportMethod.
func serveSupport(mux *http.ServeMux) {
	rollout.SupportMethod.Serve(mux, func(context.Context, *rollout.SupportRequest) (*rollout.SupportResponse, error) {
		return &rollout.SupportResponse{Supported: true}, nil
	})
}

// checkReleases returns errcode.RolloutUnsupported if another member runs a program of a release that doesn't know
// roll-outs: a core member would write the record without them, and a proxy would send to the new version's endpoints
// as to any other. Members that don't answer in time don't count.
func (c *coreProcess) checkReleases(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, releaseCheckTimeout)
	defer cancel()
	self := c.members.Self().Name
	results := make(chan error)
	calls := 0
	for _, member := range c.members.Members() {
		if member.Name == self {
			continue
		}
		calls++
		go func() { results <- c.checkRelease(ctx, member.Name, member.Address) }()
	}
	var found error
	for range calls {
		if err := <-results; err != nil {
			found = err
		}
	}
	return found
}

// checkRelease returns errcode.RolloutUnsupported if a member answers that not all programs of its machine know
// roll-outs.
func (c *coreProcess) checkRelease(ctx context.Context, name, address string) error {
	response, err := rollout.SupportMethod.Call(ctx, c.client, address, &rollout.SupportRequest{})
	if rpc.IsUnimplemented(err) || err == nil && !response.Supported {
		return errcode.RolloutUnsupported.With("%s", name)
	}
	return nil
}

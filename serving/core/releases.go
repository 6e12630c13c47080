package core

import (
	"context"
	"net/http"
	"time"

	"rowanlink/serving/errcode"
	"rowanlink/serving/rollout"
	"rowanlink/serving/rpc"
)

// releaseCheckTimeout bounds the check of the other members' releases. The operator who orders a roll-out waits one
// second for the answer.
const releaseCheckTimeout = 250 * time.Millisecond

// serveSupport serves rollout.SupportMethod: this release supports roll-outs.
func serveSupport(mux *http.ServeMux) {
	rollout.SupportMethod.Serve(mux, func(context.Context, *rollout.SupportRequest) (*rollout.SupportResponse, error) {
		return &rollout.SupportResponse{Supported: true}, nil
	})
}

// checkReleases returns errcode.RolloutUnsupported if another member's machine runs a program of a release that doesn't
// support roll-outs. A core member of such a release would write the record without its roll-outs, and a proxy would
// send requests to the new version's endpoints as to any other. Members that don't answer in time are ignored.
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
	var unsupported error
	for range calls {
		if err := <-results; err != nil {
			unsupported = err
		}
	}
	return unsupported
}

// checkRelease returns errcode.RolloutUnsupported if a member answers that a program of its machine doesn't support
// roll-outs, or is itself of a release that doesn't serve the call.
func (c *coreProcess) checkRelease(ctx context.Context, name, address string) error {
	response, err := rollout.SupportMethod.Call(ctx, c.client, address, &rollout.SupportRequest{})
	if rpc.IsUnimplemented(err) || err == nil && !response.Supported {
		return errcode.RolloutUnsupported.With("%s", name)
	}
	return nil
}

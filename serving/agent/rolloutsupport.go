package agent

import (
	"context"
	"time"

	"rowanlink/serving/actor"
	"rowanlink/serving/errcode"
	"rowanlink/serving/rollout"
)

// supportsRollouts implements rollout.SupportMethod. It reports whether the proxy carries out roll-outs; true if no proxy
// is running, since there is none then that would ignore them.
func (a *agent) supportsRollouts(context.Context, *rollout.SupportRequest) (*rollout.SupportResponse, error) {
	supported, ok := actor.Call(a.stateActor, func(s *agentState) bool {
		return !s.proxy.isAlive(time.Now()) || s.proxy.supportsRollouts
	})
	if !ok {
		return nil, errcode.AgentStopping.With("")
	}
	return &rollout.SupportResponse{Supported: supported}, nil
}

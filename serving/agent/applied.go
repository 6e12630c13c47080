package agent

import (
	"context"
	"time"

	"rowanlink/serving/actor"
	"rowanlink/serving/errcode"
	"rowanlink/serving/gossip"
	"rowanlink/serving/subscription"
)

// maxAppliedWait bounds how long awaitApplied waits for the proxy, which may be suspended.
const maxAppliedWait = time.Second

// recordApplied records what the proxy has applied, given the cursor of its poll: a proxy sends the cursor of a response
// only after it has applied that response. A cursor without a checkpoint, as that of a proxy that has just started or was
// served by an earlier agent process, counts as nothing applied.
func (p *publisher) recordApplied(cursor subscription.Cursor) {
	applied, found := p.findCheckpoint(cursor)
	if !found {
		applied = checkpoint{}
	}
	if applied == p.applied {
		return
	}
	p.applied = applied
	close(p.appliedChanged)
	p.appliedChanged = make(chan struct{})
}

// hasApplied reports whether the proxy has applied the header's version of an entry, or a newer one. Entries of tables
// other than endpoints and the record count as applied.
func (p *publisher) hasApplied(header gossip.Header) bool {
	switch header.Table {
	case gossip.TableEndpoints:
		position, current := p.endpoints.ChangePosition(header.Key, header.Version)
		return current && position <= p.applied.endpointsPosition
	case gossip.TableRecord:
		return p.applied.revision >= header.Version.Major
	default:
		return true
	}
}

// awaitApplied returns once the proxy has applied the named entries, or newer versions of them, and immediately if no
// proxy is running. It is the agent's member.Applier. Errors are errcode.AgentStopping and, if the context or
// maxAppliedWait ends first, errcode.NotApplied.
func (a *agent) awaitApplied(ctx context.Context, headers []gossip.Header) error {
	ctx, cancel := context.WithTimeout(ctx, maxAppliedWait)
	defer cancel()
	for {
		changed, ok := actor.Call(a.stateActor, func(s *agentState) <-chan struct{} {
			return s.appliedSignal(time.Now(), headers)
		})
		switch {
		case !ok:
			return errcode.AgentStopping.With("")
		case changed == nil:
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errcode.NotApplied.With("%d entries: %v", len(headers), ctx.Err())
		}
	}
}

// appliedSignal returns the channel that is closed when the proxy has applied more updates; nil if there is nothing to wait
// for, because the proxy has applied all of the named entries or isn't running.
func (s *agentState) appliedSignal(now time.Time, headers []gossip.Header) <-chan struct{} {
	if !s.proxy.isAlive(now) {
		return nil
	}
	for _, header := range headers {
		if !s.publisher.hasApplied(header) {
			return s.publisher.appliedChanged
		}
	}
	return nil
}

package agent

import (
	"context"
	"time"

	"rowanlink/serving/actor"
	"rowanlink/serving/errcode"
	"rowanlink/serving/gossip"
	"rowanlink/serving/subscription"
)

// maxAppliedWait bounds the wait for a proxy that doesn't apply updates.
const maxAppliedWait = time.Second

// recordApplied records that the proxy has applied the response with a cursor, which it proves by its next poll. The
// cursor of a proxy that has just started, or that another agent has served, proves nothing.
func (p *publisher) recordApplied(cursor subscription.Cursor) {
	applied, found := p.findCheckpoint(cursor)
	if !found {
		applied = checkpoint{}
	}
	if applied == p.applied {
		return
	}
	p.applied = applied
	close(p.appliedNews)
	p.appliedNews = make(chan struct{})
}

// hasApplied reports whether the proxy has applied a version of an entry, or a newer one. Entries of tables that proxies
// don't get count as applied.
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

// awaitApplied returns once the proxy has applied the named entries, or newer versions of them, and at once where no
// proxy is running. It is the member's Applier. Errors are errcode.AgentStopping and errcode.NotApplied.
func (a *agent) awaitApplied(ctx context.Context, headers []gossip.Header) error {
	ctx, cancel := context.WithTimeout(ctx, maxAppliedWait)
	defer cancel()
	for {
		news, ok := actor.Call(a.stateActor, func(s *agentState) <-chan struct{} {
			return s.awaitedNews(time.Now(), headers)
		})
		switch {
		case !ok:
			return errcode.AgentStopping.With("")
		case news == nil:
			return nil
		}
		select {
		case <-news:
		case <-ctx.Done():
			return errcode.NotApplied.With("%d entries: %v", len(headers), ctx.Err())
		}
	}
}

// awaitedNews returns the channel that is closed when the proxy has applied more, nil if it has applied all of the named
// entries or isn't running.
func (s *agentState) awaitedNews(now time.Time, headers []gossip.Header) <-chan struct{} {
	if !s.proxy.isAlive(now) {
		return nil
	}
	for _, header := range headers {
		if !s.updates.hasApplied(header) {
			return s.updates.appliedNews
		}
	}
	return nil
}

package agent

import (
	"context"
	"time"

	"rowanlink/internal/ctxsleep"
	"rowanlink/serving/actor"
	"rowanlink/serving/errcode"
	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

const (
	// coalesce gathers what comes together into one answer.
	coalesce = 10 * time.Millisecond
	// waitMost bounds a poll: the agent looks at its proxy's life at least that often.
	waitMost = 10 * time.Second
)

// feedServer answers the proxy's polls.
type feedServer struct {
	board *actor.Owner[board]
	now   func() time.Time
	// announce tells the mesh what has become of the proxy's state.
	announce func()
	// observed takes what the proxy has seen of endpoints. It doesn't wait.
	observed func([]state.Observation)
}

// found is the result of a look at the board.
type found struct {
	response *subscription.Response
	changed  <-chan struct{}
	more     bool // the response is news
}

// watch implements feed.Watch.
func (s *feedServer) watch(ctx context.Context, request *subscription.Request) (*subscription.Response, error) {
	s.board.Tell(func(b *board) { b.presence.pollOpened(s.now(), request) })
	s.announce()
	s.observed(request.Observations)
	defer func() {
		broken := ctx.Err() != nil
		s.board.Tell(func(b *board) { b.presence.pollClosed(s.now(), request.Incarnation, broken) })
	}()
	return s.answer(ctx, request)
}

// answer waits for news.
func (s *feedServer) answer(ctx context.Context, request *subscription.Request) (*subscription.Response, error) {
	wait := min(time.Duration(request.WaitMillis)*time.Millisecond, waitMost)
	over := time.NewTimer(wait)
	defer over.Stop()
	for {
		seen, ok := s.look(request.Since)
		switch {
		case !ok:
			return nil, errcode.AgentEnding.With("")
		case seen.more:
			return seen.response, nil
		}
		select {
		case <-seen.changed:
			ctxsleep.Sleep(ctx, coalesce)
		case <-over.C:
			return s.last(request.Since)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// look returns news since the cursor, or what to wait for.
func (s *feedServer) look(since subscription.Cursor) (found, bool) {
	return actor.Ask(s.board, func(b *board) found {
		if b.holdsBack(s.now()) {
			return found{changed: b.news.changed}
		}
		response, more := b.news.since(s.now(), since)
		return found{response: response, changed: b.news.changed, more: more}
	})
}

// last answers a poll whose wait is over.
func (s *feedServer) last(since subscription.Cursor) (*subscription.Response, error) {
	seen, ok := actor.Ask(s.board, func(b *board) *subscription.Response {
		if response, more := b.news.since(s.now(), since); more && !b.holdsBack(s.now()) {
			return response
		}
		return b.news.nothing(since)
	})
	if !ok {
		return nil, errcode.AgentEnding.With("")
	}
	return seen, nil
}

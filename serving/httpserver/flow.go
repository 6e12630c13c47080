package httpserver

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"rowanlink/internal/ctxsleep"
	"rowanlink/serving/attempt"
	"rowanlink/serving/errcode"
	"rowanlink/serving/placement"
	"rowanlink/serving/retry"
	"rowanlink/serving/routing"
	"rowanlink/serving/upstream"
)

const (
	// mostUrgent and leastUrgent bound the priority that endpoints are given.
	mostUrgent  = 0
	leastUrgent = 9
	// leastWait bounds a wait for a place from below.
	leastWait = time.Millisecond
)

// flow takes one request through its attempts until it is answered. It belongs to the handler's goroutine, but for
// giveUp.
type flow struct {
	*request
	server *Server
	writer http.ResponseWriter
	ctx    context.Context

	attempts   int      // attempts before the one under way
	reached    int      // of them, those that an endpoint took up, may have taken up or turned away as full
	arrived    int      // of them, those that arrived at an endpoint
	tried      []string // endpoints by ID
	mayHaveRun bool
	last       attempt.Outcome
	service    string          // of the last attempt's endpoint
	granted    *retry.Decision // by giveUp, before the attempt's end
	held       *reply          // an endpoint's own error, passed on if nothing better comes
	stream     stream
}

// step is what comes after an attempt.
type step uint8

const (
	stepDone  step = iota // the request is answered
	stepAgain             // the attempt is over without an answer for the client
	stepAbort             // the answer is begun and can't be ended
)

// serve makes attempts until the client has its answer.
func (f *flow) serve() {
	for {
		choice, chosen := f.choose()
		if !chosen {
			return
		}
		outcome, next := f.attempt(choice)
		f.server.options.Placer.ReportOutcome(time.Now(), choice.Reservation, outcome)
		if next == stepDone {
			return
		}
		if next == stepAbort || outcome == attempt.Canceled {
			f.abort()
		}
		f.count(outcome)
		if !f.again(outcome) {
			return
		}
	}
}

// count takes an attempt that has ended without an answer into account.
func (f *flow) count(outcome attempt.Outcome) {
	f.attempts++
	f.last = outcome
	f.mayHaveRun = f.mayHaveRun || !outcome.NeverRan()
	if outcome == attempt.ConnectFailed || outcome == attempt.AtLimit {
		return
	}
	f.arrived++
	if outcome != attempt.Misdirected {
		f.reached++
	}
}

// choose finds an endpoint, waiting where placement says so. It returns false when the request has been answered.
func (f *flow) choose() (placement.Choice, bool) {
	for {
		now := time.Now()
		f.place.TimeLeft = f.end.Sub(now)
		f.place.QueuedFor = now.Sub(f.arrivedAt)
		f.place.Service, f.place.TriedEndpoints = f.service, f.tried
		f.place.Resumed = f.stream.begun
		if f.place.TimeLeft <= 0 {
			f.expire()
			return placement.Choice{}, false
		}
		choice, verdict := f.server.options.Placer.Pick(now, f.place)
		switch verdict.Kind {
		case placement.Picked:
			return choice, true
		case placement.Wait:
			if !ctxsleep.For(f.ctx, max(min(verdict.Delay, f.place.TimeLeft), leastWait)) {
				f.abort()
			}
		default:
			f.refuse(errcode.NoCapacity, verdict.Delay)
			return placement.Choice{}, false
		}
	}
}

// attempt sends the request to the chosen endpoint and passes the answer on.
func (f *flow) attempt(choice placement.Choice) (attempt.Outcome, step) {
	if f.service == "" {
		f.server.options.Retry.Request(time.Now(), choice.Endpoint.Service)
	}
	f.service = choice.Endpoint.Service
	call := f.call(choice)
	f.tried = append(f.tried, choice.Endpoint.ID)
	f.granted = nil
	answer, failure := f.server.options.Pool.Do(f.ctx, call)
	if failure != nil {
		return failure.Outcome, stepAgain
	}
	defer answer.Close()
	if f.stream.begun || isEventStream(f.route, answer) {
		return f.passStream(answer, choice.Reservation)
	}
	return f.passPlain(answer, choice.Reservation)
}

// call puts the request into the endpoint side's words.
func (f *flow) call(choice placement.Choice) *upstream.Call {
	endpoint := choice.Endpoint
	call := &upstream.Call{
		EndpointID:  endpoint.ID,
		Address:     endpoint.Address,
		Zone:        endpoint.Zone,
		Method:      f.http.Method,
		Target:      target(f.http),
		Host:        f.http.Host,
		Header:      f.http.Header,
		Body:        f.body,
		HasBody:     f.hasBody,
		Again:       slices.Contains(f.tried, endpoint.ID),
		Deadline:    f.end,
		LastEventID: f.stream.lastID,
	}
	service, known := f.table.Service(endpoint.Service)
	if known {
		call.MostOpen = f.server.options.ConnectionShare(service)
		if service.Engine != nil {
			call.Priority = priority(f.route, choice.ShortPrefill)
		}
	}
	if f.route.Idempotent() {
		call.Patience = patience(f.route, service, choice.ExpectedFirstByte)
		call.GiveUp = f.giveUp
	}
	return call
}

// priority is the rank that endpoints are given: the route's own, as far as their scale goes, but for prompts that are
// read in a moment.
func priority(route *routing.Route, quick bool) string {
	if quick {
		return strconv.Itoa(mostUrgent)
	}
	return strconv.Itoa(min(max(route.Precedence, mostUrgent), leastUrgent))
}

// giveUp decides whether an attempt that shows nothing is to be ended: only if the request may then go again. It
// runs on another goroutine while the flow's own one waits for the endpoint.
func (f *flow) giveUp() bool {
	decision := f.decide(retry.Try{
		Attempt:    f.attempts,
		Outcome:    attempt.TimedOut,
		Reached:    f.reached + 1,
		Arrived:    f.arrived + 1,
		MayHaveRun: true,
	})
	if !decision.Again {
		return false
	}
	f.granted = &decision
	return true
}

// decide asks the retry policy.
func (f *flow) decide(try retry.Try) retry.Decision {
	now := time.Now()
	try.Route, try.Service, try.TimeLeft = f.route, f.service, f.end.Sub(now)
	return f.server.options.Retry.After(now, try)
}

// again waits for the next attempt. It returns false when the request has been answered.
func (f *flow) again(outcome attempt.Outcome) bool {
	if f.mayHaveRun && !f.route.Idempotent() {
		f.fail()
		return false
	}
	decision := f.granted
	if decision == nil {
		asked := f.decide(retry.Try{
			Attempt:    f.attempts - 1,
			Outcome:    outcome,
			Reached:    f.reached,
			Arrived:    f.arrived,
			MayHaveRun: f.mayHaveRun,
		})
		decision = &asked
	}
	if !decision.Again {
		f.finish()
		return false
	}
	if !ctxsleep.For(f.ctx, decision.Wait) {
		f.abort()
	}
	return true
}

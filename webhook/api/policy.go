// Package api defines the interface between a dispatcher and its delivery policy: identifiers, settings, the Policy
// that makes the decisions and the Host that carries them out. A Policy does no I/O and reads the time only from its
// Host.
package api

// Policy decides when and to which endpoint each webhook is sent, whether it is retried and when it is given up.
//
// A Policy is not safe for concurrent use. Calls are grouped into turns: a turn is any number of calls during which
// Host.Now does not change, followed by EndTurn. A Policy starts attempts only in EndTurn.
type Policy interface {
	// UpdateEndpoints applies an endpoint list. If complete is false, the list contains only the entries that changed.
	UpdateEndpoints(list []EndpointEntry, complete bool)
	// Submit accepts a new webhook. The webhook then gets exactly one final answer before its deadline.
	Submit(w Webhook)
	// Recover accepts a webhook that was attempted before, by an earlier process or by another dispatcher.
	Recover(w Webhook, prior PriorAttempts)
	// AttemptEnded handles the result of an attempt that the Policy started.
	AttemptEnded(result AttemptResult)
	// ReportLoad handles a load report. It is called before AttemptEnded for the attempt whose answer had the report.
	ReportLoad(report LoadReport)
	// Withdraw drops a webhook whose client no longer waits for it. An attempt in flight continues.
	Withdraw(id WebhookID)
	// TimerFired handles the expiry of a timer that was set by Host.SetTimer.
	TimerFired(timer TimerID)
	// UpdateSettings applies new settings while the dispatcher runs. An index into a list of Settings must keep its
	// meaning.
	UpdateSettings(settings Settings)
	// EndTurn ends the turn and starts the attempts that may start now.
	EndTurn()
}

// StateTransferer is implemented by a Policy whose state of a destination can be transferred to another dispatcher.
type StateTransferer interface {
	// ExportState returns the state of a destination, or false if there is none worth transferring.
	ExportState(id DestinationID) (DestinationState, bool)
	// ImportState adopts the state that another dispatcher exported, with times converted to this dispatcher's clock.
	ImportState(state DestinationState)
}

// Host carries out the decisions of a Policy. Its methods never call the Policy.
type Host interface {
	Now() Micros
	// StartAttempt starts an attempt that times out after timeout. If the call has not begun by the time latest, since
	// connecting took long, it is not made.
	StartAttempt(id WebhookID, endpoint EndpointID, timeout, latest Micros)
	// CancelAttempt cancels the webhook's attempt of the given number, counted from 0.
	CancelAttempt(id WebhookID, attempt int)
	// Reject gives the final answer that the webhook took no effect and may be submitted again after retryAfter.
	Reject(id WebhookID, retryAfter Micros)
	// DeadLetter gives the final answer that the webhook is given up although it may have taken effect.
	DeadLetter(id WebhookID)
	// SetTimer has TimerFired called after the given duration. It replaces an earlier setting of the same timer.
	SetTimer(after Micros, timer TimerID)
	// CloseIdleConnections closes the connections to an endpoint that are not in use by a call.
	CloseIdleConnections(endpoint EndpointID)
	Log(text string)
}

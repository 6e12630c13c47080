// Package api holds what the decision policy of a dispatcher and its callers share: identifiers, settings, the calls
// made on a Policy and the Host through which it acts. Policies do no I/O and have no clock.
package api

// Policy decides when each webhook is sent, where, whether it is retried and when it is given up.
//
// Callers make the calls of one instance one after the other. A turn is any number of calls at one time of the clock,
// closed by EndTurn; a Policy starts attempts only as a turn ends.
type Policy interface {
	// UpdateEndpoints takes an endpoint list: the complete list, or the entries that have changed.
	UpdateEndpoints(list []EndpointEntry, complete bool)
	// Submit accepts a new webhook. From here on it gets exactly one final answer before its deadline.
	Submit(w Webhook)
	// Recover accepts a webhook that was attempted before, in an earlier incarnation or by another dispatcher.
	Recover(w Webhook, prior PriorAttempts)
	// AttemptEnded takes the result of an attempt that the Policy started.
	AttemptEnded(result AttemptResult)
	// ReportLoad takes a load report, before the result of the attempt whose answer it was part of.
	ReportLoad(report LoadReport)
	// Withdraw drops a webhook that nobody waits for any more. An attempt in flight continues.
	Withdraw(id WebhookID)
	// TimerFired handles a timer, set through Host.SetTimer, that has expired.
	TimerFired(timer TimerID)
	// UpdateSettings takes new settings while the dispatcher runs. Indexes keep their meaning.
	UpdateSettings(settings Settings)
	// EndTurn starts the attempts that may start now.
	EndTurn()
}

// StateTransferer is a Policy whose knowledge of a destination can be handed to another dispatcher's Policy.
type StateTransferer interface {
	// ExportState returns what is known of a destination; false: nothing that is worth handing over.
	ExportState(id DestinationID) (DestinationState, bool)
	// ImportState takes over what another dispatcher knows; times are of this dispatcher's clock.
	ImportState(state DestinationState)
}

// Host is what a Policy acts through. None of its methods calls back into the Policy.
type Host interface {
	Now() Micros
	// StartAttempt calls an endpoint and gives up after timeout. A call that hasn't begun by latest, because connecting
	// took long, is not made.
	StartAttempt(id WebhookID, endpoint EndpointID, timeout, latest Micros)
	// CancelAttempt cancels the webhook's attempt of the given number, counted from 0.
	CancelAttempt(id WebhookID, attempt int)
	// Reject answers that the webhook was not run and may be submitted again after retryAfter.
	Reject(id WebhookID, retryAfter Micros)
	// DeadLetter answers that the webhook is given up although it may have run.
	DeadLetter(id WebhookID)
	// SetTimer has TimerFired called after a time; it replaces an earlier setting of the same timer.
	SetTimer(after Micros, timer TimerID)
	// CloseIdleConnections closes the connections to an endpoint that no call uses.
	CloseIdleConnections(endpoint EndpointID)
	Log(text string)
}

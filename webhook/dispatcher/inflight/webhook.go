package inflight

import (
	"context"
	"log/slog"

	"rowanlink/webhook/api"
)

// AnswerTimeout is how long a client waits for its answer, given by the protocol. After that it may have submitted the
// webhook again.
const AnswerTimeout = 2 * api.Second / 5

// RequestID is a webhook's name on the wire.
type RequestID string

// Token is the idempotency key by which a destination recognizes a duplicate; empty: none.
type Token string

// Webhook is one webhook as it was received.
type Webhook struct {
	ID        api.WebhookID
	RequestID RequestID
	Token     Token
	Body      []byte

	EventType   api.EventTypeID
	Tenant      api.TenantID
	OrderingKey api.OrderingKey
	Destination api.DestinationID
	Deadline    api.Micros

	ReceivedAt api.Micros
	answer     chan submissionAnswer

	// Used only in a cluster.

	// Prior holds the attempts that other members made for it; nil if none.
	Prior *PriorAttempts
	// InDoubt is set while another member may have the webhook. This member makes no calls for it until that is resolved.
	InDoubt bool
	// MustKeep is set if no other member would resolve the doubt: the webhook is accepted regardless of limits.
	MustKeep bool
	Broadcast
}

// PriorAttempts is what other members did for a webhook before it arrived here.
type PriorAttempts struct {
	Attempts     int
	MayHaveRunAt api.Micros // start of the first attempt that may have run, or Never
	Zone         api.ZoneID // of that attempt's endpoint
}

// Trace logs a step of a webhook at debug level, so that its id can be followed through all logs. endpoint is the one
// concerned, or 0; elapsed is the time since the attempt was decided on, or since the webhook was received.
func (w *Webhook) Trace(step string, endpoint api.EndpointID, elapsed api.Micros) {
	logger := slog.Default()
	if !logger.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	logger.Debug("trace", "webhook", w.RequestID, "step", step, "dest", w.Destination, "ep", endpoint,
		"took_us", elapsed)
}

// Answer is the answer to a client that submitted a webhook.
type Answer int

// Answers.
const (
	Accepted     Answer = iota // from now on it gets exactly one final result
	Rejected                   // submitting it again is harmless
	Duplicate                  // its request id is pending already
	Undetermined               // another member may have it, and it can't be kept here: any answer would be a guess
)

var answerNames = [...]string{"accepted", "rejected", "duplicate", "undetermined"}

type submissionAnswer struct {
	answer     Answer
	retryAfter api.Micros
}

// Answer answers the client that submitted the webhook.
func (w *Webhook) Answer(answer Answer, retryAfter api.Micros) {
	w.Trace(answerNames[answer], 0, Now()-w.ReceivedAt)
	w.answer <- submissionAnswer{answer, retryAfter}
}

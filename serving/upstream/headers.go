package upstream

// Names of the headers exchanged with endpoints.
const (
	headerAttempt      = "X-Attempt-Id"
	headerTimeLeft     = "X-Time-Left"
	headerDeliverTo    = "X-Deliver-To"
	headerNotDelivered = "X-Not-Delivered"
	headerStamp        = "X-Postmark"
	headerPriority     = "Priority"
	headerLastEvent    = "Last-Event-Id"
)

package upstream

// Header names that the system and its endpoints speak.
const (
	headerAttempt      = "X-Attempt-Id"
	headerTimeLeft     = "X-Time-Left"
	headerDeliverTo    = "X-Deliver-To"
	headerNotDelivered = "X-Not-Delivered"
	headerStamp        = "X-Postmark"
	headerPriority     = "Priority"
	headerLastEvent    = "Last-Event-Id"
)

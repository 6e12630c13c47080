package api

// DestinationKind holds the settings of one kind of destination.
type DestinationKind struct {
	BatchSize int // maximum number of webhooks that may share one call
	// SeparateRoutes is set if each endpoint of a destination has its own rate limit, Retry-After delays and outages.
	SeparateRoutes bool
}

// Settings are the settings of a dispatcher. All lists are indexed by identifiers. An index must keep its meaning when
// the settings of a running dispatcher are replaced.
type Settings struct {
	Seed             uint64 // of the random number generator
	Dispatchers      int    // number of dispatchers that share each destination's rate
	Zone             ZoneID // of this dispatcher
	EventTypes       []EventType
	DestinationKinds []DestinationKind
	TenantRates      []float64 // each tenant's quota: webhooks per second over all dispatchers
	OverQuotaValue   float64   // fraction of its value that a webhook beyond its tenant's quota has

	MaxInFlight   int    // maximum number of concurrent calls
	BufferSize    int    // maximum number of pending webhooks, in flight or not
	MaxAttempts   int    // per webhook
	CanCancel     bool   // Host.CancelAttempt may be used
	MaxRetryAfter Micros // the longest Retry-After of a rejection that clients respect; 0: they ignore it
	RatesListed   bool   // endpoint lists contain the rate that a destination accepts

	// ConnectionLimitsReported is set if a connection that is refused because of a limit is reported as
	// ConnectionLimited. Otherwise it is reported as ConnectFailed.
	ConnectionLimitsReported bool

	ConnectTimeout  Micros
	MinTurnInterval Micros // minimum time between two turns
	// OrderingGap is how long the next webhook of an ordering key waits after an attempt that may still run.
	OrderingGap Micros

	// A destination that recovers from an outage starts with the fraction SlowStartCapacity of its rate, which rises and
	// reaches the full rate after SlowStartDuration. If it is called at more than OverloadFactor times its capacity for
	// OverloadDuration, it fails again.
	SlowStartCapacity float64
	SlowStartDuration Micros
	OverloadFactor    float64
	OverloadDuration  Micros
}

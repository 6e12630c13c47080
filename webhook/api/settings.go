package api

// DestinationKind holds the settings of one kind of destination.
type DestinationKind struct {
	BatchSize int // webhooks that may share one call
	// SeparateRoutes is set where each endpoint has its own rate limit, Retry-After delays and outages.
	SeparateRoutes bool
}

// Settings are what a dispatcher is configured with. All lists are indexed by identifiers; on a running dispatcher an
// index keeps its meaning.
type Settings struct {
	Seed             uint64 // of the random generator
	Dispatchers      int    // how many dispatchers share each destination's rate
	Zone             ZoneID // of this dispatcher
	EventTypes       []EventType
	DestinationKinds []DestinationKind
	TenantRates      []float64 // webhooks per second within each tenant's quota, over all dispatchers
	OverQuotaValue   float64   // value of a webhook beyond its tenant's quota, as a fraction

	MaxInFlight   int // concurrent calls
	BufferSize    int // pending webhooks at most, in flight or not
	MaxAttempts   int // per webhook
	CanCancel     bool
	MaxRetryAfter Micros // the longest Retry-After that clients respect after a rejection; 0: they respect none
	RatesListed   bool   // endpoint lists state the rate that a destination accepts

	// ConnectionLimitsReported is set where a connection refused for a limit is reported as ConnectionLimited; without
	// it the refusal is reported as ConnectFailed.
	ConnectionLimitsReported bool

	ConnectTimeout  Micros
	MinTurnInterval Micros // least time between two turns
	// OrderingGap is how long an ordering key pauses after an attempt that may still run.
	OrderingGap Micros

	// A destination that recovers from an outage has SlowStartCapacity of its rate, rising to all of it after
	// SlowStartDuration. At over OverloadFactor times its capacity for OverloadDuration it fails again.
	SlowStartCapacity float64
	SlowStartDuration Micros
	OverloadFactor    float64
	OverloadDuration  Micros
}

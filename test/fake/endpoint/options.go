package endpoint

import "time"

// Options are the parameters of an endpoint. Some zero values stand for defaults, as noted.
type Options struct {
	ID            string // empty: a new one
	Service       string
	Zone          string
	Edition       string   // of the endpoint's software
	ListenAddress string   // host:port; port 0: any free one
	Control       []string // control addresses for heartbeats, tried in turn; none: no heartbeats

	HealthPath        string        // empty: none
	HeartbeatInterval time.Duration // 0: 1 s
	DrainTime         time.Duration // how long it serves after its draining was acknowledged
	Slots             int           // concurrent requests; 0: 8
	QueueLimit        int           // waiting requests; 0: half of the slots, at least two
	MaxConnections    int           // from all callers together; 0: no limit
	ProcessingTime    time.Duration // of a request without a language model
	FailureShare      float64       // of the requests without a language model, that fail with an error of its own
	Warmup            Warmup
	Engine            *Engine // nil: no language model

	// OnRequest is called for each phase of a request; nil: not. It is called from many goroutines and must not block.
	OnRequest func(RequestEvent)
}

// Warmup describes how an endpoint behaves after its start.
type Warmup struct {
	Span    time.Duration // 0: it needs no warm-up
	MaxRate float64       // requests a second that it accepts meanwhile
}

// Engine describes a language model's engine. Times grow with the number of running requests.
type Engine struct {
	Model          string        // empty: "m"
	DecodeStep     time.Duration // of a token while nothing else runs
	PrefillRate    float64       // prompt tokens a millisecond; 0: 30
	CacheTokens    int           // capacity of the KV cache; 0: 100,000
	TokensPerEvent int           // 0: 1
}

// Defaults of the options.
const (
	defaultHeartbeatInterval = time.Second
	defaultSlots             = 8
	minQueueLimit            = 2
	defaultModel             = "m"
	defaultPrefillRate       = 30
	defaultCacheTokens       = 100_000
)

// withDefaults replaces zero values by defaults.
func (o Options) withDefaults() Options {
	if o.ID == "" {
		o.ID = newID()
	}
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = defaultHeartbeatInterval
	}
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.QueueLimit == 0 {
		o.QueueLimit = max(o.Slots/2, minQueueLimit)
	}
	if o.OnRequest == nil {
		o.OnRequest = func(RequestEvent) {}
	}
	if o.Engine != nil {
		engine := o.Engine.withDefaults()
		o.Engine = &engine
	}
	return o
}

func (e Engine) withDefaults() Engine {
	if e.Model == "" {
		e.Model = defaultModel
	}
	if e.PrefillRate == 0 {
		e.PrefillRate = defaultPrefillRate
	}
	if e.CacheTokens == 0 {
		e.CacheTokens = defaultCacheTokens
	}
	e.TokensPerEvent = max(e.TokensPerEvent, 1)
	return e
}

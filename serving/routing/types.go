// Package routing parses and validates operators' configuration documents and matches requests to their routes.
package routing

import "time"

// Kind is the kind of a route's requests: whether they are idempotent and how they are responded to.
type Kind uint8

// The kinds of route.
const (
	KindAtMostOnce Kind = iota // a request is executed at most once for each attempt of a client
	KindIdempotent             // a request may be executed more than once
	KindStream                 // the response is a stream of events; at most once unless Route.Resumable
)

// WeightedService is a service that gets a share of a route's requests in proportion to its weight.
type WeightedService struct {
	Service string
	Weight  int // above 0
}

// Route is a validated route.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Timeout       time.Duration // maximum duration of a request
	LatencyTarget time.Duration // a response within it has its full value
	Precedence    int           // rank; 0 is highest
	Services      []WeightedService
	MaxAttempts   int           // endpoints to which one attempt of a client may be sent
	Sticky        bool          // its requests share prefixes of prompts
	Resumable     bool          // a stream may be resumed at another endpoint
	GapTarget     time.Duration // the longest gap between events with which a response is in time
	HomeRegions   []string      // if not empty, only these regions may serve
}

// Idempotent reports whether a request on the route may be executed more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Service is a validated service.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int           // connections that one endpoint accepts from all proxies together
	WarmUpDuration time.Duration // how long an endpoint that starts during traffic is warming up
	WarmUpRate     float64       // requests per second that an endpoint takes while warming up; 0: no limit
	Engine         *Engine       // nil if the service isn't a language model
}

// Engine describes the batching of a language model's endpoints.
type Engine struct {
	Slots          int // requests in a batch
	CacheTokens    int // KV cache that running requests and cached prefixes share, in tokens
	TokensPerEvent int // tokens in one event of a stream
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

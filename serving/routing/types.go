// Package routing parses and validates operators' configuration documents and matches requests to their routes.
package routing

import "time"

// Kind is the kind of a route's requests: whether they are idempotent, and whether the response is a stream.
type Kind uint8

// The kinds of route.
const (
	KindAtMostOnce Kind = iota // a request is executed at most once each time that a client sends it
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
	LatencyTarget time.Duration // a response within this time has its full value
	Precedence    int           // priority of the route's requests; 0 is highest
	Services      []WeightedService
	MaxAttempts   int           // number of endpoints that a request may reach each time that a client sends it
	Sticky        bool          // the route's requests share prefixes of prompts
	Resumable     bool          // a stream may be resumed at another endpoint
	GapTarget     time.Duration // a stream is in time if no gap between its events is longer
	HomeRegions   []string      // if not empty, only endpoints in these regions may serve the route
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
	WarmUpDuration time.Duration // how long an endpoint warms up that starts while there is traffic
	WarmUpRate     float64       // requests per second that an endpoint takes while warming up; 0: no limit
	Engine         *Engine       // nil if the service isn't a language model
}

// Engine describes the batching of a language model's endpoints.
type Engine struct {
	Slots          int // requests in a batch
	CacheTokens    int // size in tokens of the KV cache, which running requests and cached prefixes share
	TokensPerEvent int // tokens in one event of a stream
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

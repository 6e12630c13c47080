// Package routing reads, checks and searches an operator's configuration document.
package routing

import "time"

// Kind says what may be repeated.
type Kind uint8

// The kinds of route.
const (
	KindAtMostOnce Kind = iota // runs at most once for each try of a client
	KindIdempotent             // may run more than once
	KindStream                 // answers with a series of events; once only unless it may be resumed
)

// WeightedService is one service of a route that is split, and its weight.
type WeightedService struct {
	Service string
	Weight  int
}

// Route is one checked route.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Timeout       time.Duration     // the longest that the operator wants a request held
	LatencyTarget time.Duration     // an answer within it earns its full worth
	Precedence    int               // rank; 0 is highest
	Services      []WeightedService // one with weight 1 where the route is not split
	MaxAttempts   int               // endpoints that one try of a client may be sent to
	Sticky        bool              // its requests share parts of prompts
	Resumable     bool              // a stream may be taken up at another endpoint
	GapTarget     time.Duration     // the longest pause between events that keeps an answer in time
	HomeRegions   []string          // where not empty, only these may serve
}

// Idempotent tells whether a request on the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Service is one checked service.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int           // connections that one endpoint takes from all callers together
	WarmUpDuration time.Duration // how long an endpoint is cold after a start during traffic
	WarmUpRate     float64       // requests a second that a cold endpoint bears; 0: no bound
	Engine         *Engine       // nil where the service is no language model
}

// Engine describes the batches of a language model's endpoints.
type Engine struct {
	Slots          int
	CacheTokens    int // tokens of memory that running requests and cached parts share
	TokensPerEvent int // tokens in one event of a stream
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

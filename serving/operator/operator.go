// Package operator implements the HTTP API at the control address of a core member. Operators read and change the
// configuration, evacuate zones and roll out software versions; endpoints send heartbeats and deregister. Each resource
// has its own handler type. Errors are JSON objects with a text and the number of an errcode.Kind.
package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"rowanlink/serving/endpoints"
	"rowanlink/serving/errcode"
	"rowanlink/serving/event"
	"rowanlink/serving/quorum"
	"rowanlink/serving/rollout"
	"rowanlink/serving/state"
)

// Limits of the control address.
const (
	// changeTimeout bounds a change or a read of the register for an operator's request.
	changeTimeout = 2500 * time.Millisecond
	// replicationTimeout bounds the wait until a majority has an endpoint's state on disk. The endpoint itself waits
	// one second for the response.
	replicationTimeout = 500 * time.Millisecond
	readHeaderTimeout  = 3 * time.Second
	requestTimeout     = 20 * time.Second // to read a request, and to write its response
	idleTimeout        = 60 * time.Second
	maxDocumentBytes   = 8 << 20
	maxHeartbeatBytes  = 64 << 10
	maxOrderBytes      = 64 << 10
	maxHeaderBytes     = 64 << 10
)

// Register reads and changes the replicated record. If the kind of an error has status 400 or 412, the committed record
// rejects the change. BeginRollout's errors errcode.RolloutServiceUnknown and errcode.RolloutBeforeConfiguration mean
// the same. After any other error the change may or may not have been committed.
type Register interface {
	// ReplaceConfiguration commits a configuration that replaces the one of version baseVersion (0: none yet). It also
	// succeeds if the same configuration was committed before.
	ReplaceConfiguration(ctx context.Context, baseVersion uint64, configuration state.Configuration) error
	// AmendConfiguration applies an amendment to its base version and commits the result. It also succeeds if the same
	// amendment was committed before.
	AmendConfiguration(ctx context.Context, amendment Amendment) error
	// SetEvacuation starts or ends the evacuation of a zone.
	SetEvacuation(ctx context.Context, zone string, active bool) error
	// BeginRollout commits the beginning of a roll-out; rollout.Begin describes its rules and isRecent.
	BeginRollout(ctx context.Context, order rollout.Order, isRecent func(orderRevision uint64) bool) error
	// Read returns the newest committed record, which a majority confirms. The read is linearizable: it includes every
	// change that was acknowledged before the call.
	Read(ctx context.Context) (state.Record, error)
}

// Endpoints is the table of endpoints; endpoints.SharedTable implements it. The last result is false once the table has
// stopped.
type Endpoints interface {
	ReceiveHeartbeat(id string, heartbeat endpoints.Heartbeat) (state.Endpoint, endpoints.Change, bool)
	Deregister(id string) (state.Endpoint, endpoints.Change, bool)
	MarkReplicated(endpoint state.Endpoint)
}

// Replicator sends the states of endpoints to the other members; exchange.Exchange implements it.
type Replicator interface {
	// Put gossips an endpoint's state. It doesn't block.
	Put(endpoint state.Endpoint)
	// PutReplicated gossips an endpoint's state and returns once a quorum of the targets has it on disk.
	PutReplicated(ctx context.Context, endpoint state.Endpoint, targets quorum.Targets) error
	// CheckSuccessor checks whether a heartbeat comes from a new process that uses the ID of a departed endpoint and,
	// if so, registers that process. It doesn't block.
	CheckSuccessor(id string, heartbeat endpoints.Heartbeat)
}

// Options holds the dependencies of the control address. Functions that may be nil say so; all else is required.
type Options struct {
	Register   Register
	Endpoints  Endpoints
	Replicator Replicator
	Quorum     *quorum.Checker
	Regions    map[string]string // region by zone: the zones that may be evacuated
	// ForwardTo returns the control address to which the endpoint should send its next heartbeats; empty for no
	// redirect. Forwarder.ForwardTo implements it. If nil, no endpoint is redirected.
	ForwardTo func(id, zone string) string
	// IsRecentRollout reports whether the roll-out with this OrderRevision may have been ordered so recently that its
	// operator still retries the order. If nil, every roll-out counts as recent.
	IsRecentRollout func(orderRevision uint64) bool
	// CheckRollouts returns errcode.RolloutUnsupported while no roll-out may begin, because a member runs a release
	// that doesn't know roll-outs. If nil, roll-outs may always begin.
	CheckRollouts func(ctx context.Context) error
	Log           *zerolog.Logger
}

// New returns the handler of the control address.
func New(options Options) http.Handler {
	configuration := &ConfigurationResource{register: options.Register, log: options.Log}
	evacuation := &EvacuationResource{register: options.Register, regions: options.Regions, log: options.Log}
	rollouts := &RolloutResource{
		register:      options.Register,
		isRecent:      options.IsRecentRollout,
		checkRollouts: options.CheckRollouts,
		log:           options.Log,
	}
	endpoint := &EndpointResource{
		endpoints:  options.Endpoints,
		replicator: options.Replicator,
		quorum:     options.Quorum,
		forwardTo:  options.ForwardTo,
		log:        options.Log,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /Settings.Replace", configuration.Replace)
	mux.HandleFunc("POST /Settings.Amend", configuration.Amend)
	mux.HandleFunc("GET /Settings.Read", configuration.Read)
	mux.HandleFunc("POST /Clearance.Begin/{zone}", evacuation.Begin)
	mux.HandleFunc("POST /Clearance.Finish/{zone}", evacuation.End)
	mux.HandleFunc("POST /Editions.Begin", rollouts.Begin)
	mux.HandleFunc("GET /Editions.Read/{service}", rollouts.Read)
	mux.HandleFunc("POST /Endpoints.Beat/{id}", endpoint.Heartbeat)
	mux.HandleFunc("POST /Endpoints.SignOff/{id}", endpoint.Deregister)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		event.ResourceUnknown.Log(options.Log).Str("method", r.Method).Str("path", r.URL.Path).Send()
		writeError(w, errcode.ResourceUnknown.With("%s %s", r.Method, r.URL.Path))
	})
	return mux
}

// NewServer returns an HTTP server for the handler, with time-outs and a header limit for every connection.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      requestTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

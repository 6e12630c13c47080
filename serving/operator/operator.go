// Package operator serves the control address of a core member: the configuration, the evacuation of zones and the
// roll-outs of software versions for operators, heartbeats and deregistrations for endpoints. Each resource has its own handler type. Errors are JSON
// objects with a text and the number of an errcode.Kind.
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
	// changeTimeout bounds the work on an operator's request.
	changeTimeout = 2500 * time.Millisecond
	// replicationTimeout bounds the wait until a majority has an endpoint's state on disk. The endpoint waits a second.
	replicationTimeout = 500 * time.Millisecond
	readHeaderTimeout  = 3 * time.Second
	requestTimeout     = 20 * time.Second // to read a request, and to write its response
	idleTimeout        = 60 * time.Second
	maxDocumentBytes   = 8 << 20
	maxHeartbeatBytes  = 64 << 10
	maxOrderBytes      = 64 << 10
	maxHeaderBytes     = 64 << 10
)

// Register is the replicated record. An error whose kind has status 400 or 412 means that the committed record
// rejects the change; all others leave open whether the change was committed.
type Register interface {
	// ReplaceConfiguration commits a configuration in place of its base version. It also succeeds if that very
	// configuration was committed before.
	ReplaceConfiguration(ctx context.Context, baseVersion uint64, configuration state.Configuration) error
	// AmendConfiguration commits the result of applying an amendment to its base version. It also succeeds if that very
	// amendment was committed before.
	AmendConfiguration(ctx context.Context, amendment Amendment) error
	// SetEvacuation starts or ends the evacuation of a zone.
	SetEvacuation(ctx context.Context, zone string, active bool) error
	// BeginRollout begins a roll-out, as rollout.Begin says.
	BeginRollout(ctx context.Context, order rollout.Order, isRecent func(orderRevision uint64) bool) error
	// Read returns the record as a majority holds it. The read is linearizable: it includes all that was acknowledged
	// before.
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
	// PutReplicated does the same and returns once as many targets as are a quorum have it on their disks.
	PutReplicated(ctx context.Context, endpoint state.Endpoint, targets quorum.Targets) error
	// CheckSuccessor checks whether a heartbeat is of a new process under the ID of a departed endpoint, and registers
	// that. It doesn't block.
	CheckSuccessor(id string, heartbeat endpoints.Heartbeat)
}

// Options of the control address. All but ForwardTo are required.
type Options struct {
	Register   Register
	Endpoints  Endpoints
	Replicator Replicator
	Quorum     *quorum.Checker
	Regions    map[string]string // region by zone: the zones that may be evacuated
	// ForwardTo returns the control address to which the endpoint should send its next heartbeats, empty for none; see
	// Forwarder.
	ForwardTo func(id, zone string) string
	// IsRecentRollout reports whether a roll-out, by its OrderRevision, may have been ordered so short a time ago that
	// the order is still sent again. Nil: always.
	IsRecentRollout func(orderRevision uint64) bool
	// CheckRollouts returns why no roll-out may begin now, errcode.RolloutReleases. Nil: one may always.
	CheckRollouts func(ctx context.Context) error
	Log           *zerolog.Logger
}

// New returns the handler of the control address.
func New(options Options) http.Handler {
	configuration := &ConfigurationResource{register: options.Register, log: options.Log}
	evacuation := &EvacuationResource{register: options.Register, regions: options.Regions, log: options.Log}
	rollouts := &RolloutResource{
		register: options.Register,
		isRecent: options.IsRecentRollout,
		check:    options.CheckRollouts,
		log:      options.Log,
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
		event.CallUnknown.Log(options.Log).Str("method", r.Method).Str("path", r.URL.Path).Send()
		writeError(w, errcode.ResourceUnknown.With("%s %s", r.Method, r.URL.Path))
	})
	return mux
}

// NewServer returns a server of the handler whose time-outs bound every connection.
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

// Package operator serves the control address of a core member: the configuration and the evacuations for operators,
// heartbeats and sign-offs for endpoints. Each resource has a handler object of its own. Errors are answered as JSON
// with a text and the number of a result.
package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"rowanlink/serving/endpoints"
	"rowanlink/serving/errcode"
	"rowanlink/serving/quorum"
	"rowanlink/serving/state"
)

// Times and sizes of the control address.
const (
	// changeTimeout bounds the work on an operator's call.
	changeTimeout = 2500 * time.Millisecond
	// replicationTimeout bounds the wait until a majority holds an endpoint's word. The endpoint waits for a second.
	replicationTimeout = 300 * time.Millisecond
	maxDocumentBytes   = 8 << 20  // bytes of a configuration
	maxHeartbeatBytes  = 64 << 10 // bytes of a heartbeat
	maxHeaderBytes     = 64 << 10 // bytes of the head of a call
	readHeaderTimeout  = 3 * time.Second
	requestTimeout     = 20 * time.Second // for a call to come and its answer to go
	idleTimeout        = 60 * time.Second
)

// Register is the replicated record. Errors whose numbered kind has status 400 or 412 say that the record, as it
// stands committed, refuses the change; all others leave open whether it was made.
type Register interface {
	// ReplaceConfiguration puts a configuration in force in place of the version that it builds on. It also succeeds
	// where that very configuration was put in force before.
	ReplaceConfiguration(ctx context.Context, basedOn uint64, configuration state.Configuration) error
	// AmendConfiguration puts in force what an amendment makes of the version that it builds on. It also succeeds where
	// that very order was carried out before.
	AmendConfiguration(ctx context.Context, order Amendment) error
	// SetEvacuation begins or ends the evacuation of a zone.
	SetEvacuation(ctx context.Context, zone string, active bool) error
	// Read returns the record as a majority holds it. It shows all that was acknowledged before.
	Read(ctx context.Context) (state.Record, error)
}

// Endpoints is the table of endpoints; endpoints.Owner is one. The last result is false once it has stopped.
type Endpoints interface {
	ReceiveHeartbeat(id string, beat endpoints.Heartbeat) (state.Endpoint, endpoints.Change, bool)
	Deregister(id string) (state.Endpoint, endpoints.Change, bool)
	MarkReplicated(held state.Endpoint)
}

// Replicator tells the other members of endpoints.
type Replicator interface {
	// Put hands an endpoint to the spread and doesn't wait.
	Put(endpoint state.Endpoint)
	// PutReplicated does the same and returns when so many of the members at the addresses hold it.
	PutReplicated(ctx context.Context, endpoint state.Endpoint, addresses []string, copies int) error
}

// Options of the control address. All are needed but Forward.
type Options struct {
	Register   Register
	Endpoints  Endpoints
	Replicator Replicator
	Quorum     *quorum.Checker
	Regions    map[string]string // region by zone: the zones that may be evacuated
	// ForwardTo names the control address where the endpoint's next heartbeats are to go, empty for none; see Forwarder.
	ForwardTo func(id, zone string) string
	Log       *zerolog.Logger
}

// New makes the handler of the control address.
func New(options Options) http.Handler {
	settings := &ConfigurationResource{register: options.Register, log: options.Log}
	clearance := &EvacuationResource{register: options.Register, regions: options.Regions, log: options.Log}
	calls := &EndpointResource{endpoints: options.Endpoints, replicator: options.Replicator,
		quorum: options.Quorum, forwardTo: options.ForwardTo, log: options.Log}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /Settings.Replace", settings.Replace)
	mux.HandleFunc("POST /Settings.Amend", settings.Amend)
	mux.HandleFunc("GET /Settings.Read", settings.Read)
	mux.HandleFunc("POST /Clearance.Begin/{zone}", clearance.Begin)
	mux.HandleFunc("POST /Clearance.Finish/{zone}", clearance.End)
	mux.HandleFunc("POST /Endpoints.Beat/{id}", calls.Heartbeat)
	mux.HandleFunc("POST /Endpoints.SignOff/{id}", calls.Deregister)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, errcode.ResourceUnknown.With("%s %s", r.Method, r.URL.Path))
	})
	return mux
}

// NewServer makes a server of the handler that holds no connection for ever.
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

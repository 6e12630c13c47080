package serving

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/test/fake/endpoint"
)

// The services.
const (
	serviceWriter = "writer"
	serviceStock  = "stock"
	healthPath    = "/condition"
	host          = "shop.example"
	drainTime     = 3 * time.Second
	endpointSlots = 16
	// maxConnections bounds the connections of all proxies to an endpoint.
	maxConnections = 100
)

// writerOptions returns the options of a language model's endpoint.
func writerOptions() endpoint.Options {
	return endpoint.Options{Service: serviceWriter, Slots: endpointSlots,
		Engine: &endpoint.Engine{DecodeStep: 2 * time.Millisecond, TokensPerEvent: 4}}
}

// stockOptions returns the options of a plain service's endpoint.
func stockOptions() endpoint.Options {
	return endpoint.Options{Service: serviceStock, Slots: endpointSlots, ProcessingTime: 10 * time.Millisecond}
}

// startEndpoint starts an endpoint whose requests the ledger records.
func (c *cluster) startEndpoint(options endpoint.Options, number int, p location) *endpoint.Endpoint {
	options.Zone = p.zone
	if options.Edition == "" {
		options.Edition = "v1"
	}
	options.HealthPath = healthPath
	options.ListenAddress = c.address(number, portEndpoint)
	options.Control = c.controlAddresses()
	options.HeartbeatInterval = c.heartbeatInterval
	options.DrainTime = drainTime
	options.MaxConnections = maxConnections
	options.OnRequest = c.ledger.recordEvent
	e, err := endpoint.Start(c.t.Context(), options)
	require.NoError(c.t, err)
	return e
}

// routeDocument and serviceDocument are parts of a configuration.
type routeDocument struct {
	Name          string `json:"name"`
	Host          string `json:"station"`
	Prefix        string `json:"lane_prefix"`
	Kind          string `json:"line_type"`
	TimeoutMillis int    `json:"timeout_ms"`
	TargetMillis  int    `json:"target_ms"`
	Service       string `json:"carrier"`
	Tries         int    `json:"tries"`
	Sticky        bool   `json:"sticky"`
	GapMillis     int    `json:"gap_aim_ms"`
}

type serviceDocument struct {
	Name        string          `json:"name"`
	HealthPath  string          `json:"health_path"`
	Connections int             `json:"conn_cap"`
	Engine      *engineDocument `json:"engine,omitempty"`
}

type engineDocument struct {
	Slots       int `json:"berths"`
	CacheTokens int `json:"cache_tokens"`
	Stride      int `json:"stride"`
}

type configurationDocument struct {
	Version  uint64            `json:"edition"`
	Routes   []routeDocument   `json:"routings"`
	Services []serviceDocument `json:"carriers"`
}

// configurationWith returns a configuration with the usual routes, and with extra routes to the plain service.
func configurationWith(version uint64, extra ...string) []byte {
	configuration := configurationDocument{Version: version, Routes: []routeDocument{
		route(kindChat), route(kindStock), route(kindOrder),
	}, Services: []serviceDocument{
		{Name: serviceWriter, HealthPath: healthPath, Connections: maxConnections,
			Engine: &engineDocument{Slots: endpointSlots, CacheTokens: 100_000, Stride: 4}},
		{Name: serviceStock, HealthPath: healthPath, Connections: maxConnections},
	}}
	for _, name := range extra {
		more := route(kindStock)
		more.Name = name
		more.Prefix = "/" + name + "/"
		configuration.Routes = append(configuration.Routes, more)
	}
	text, err := json.Marshal(configuration)
	if err != nil {
		panic(err)
	}
	return text
}

func route(k requestKind) routeDocument {
	return routeDocument{
		Name:          k.name,
		Host:          host,
		Prefix:        "/" + k.name + "/",
		Kind:          k.routeKind,
		Service:       k.service,
		TimeoutMillis: int(clientTimeout.Milliseconds()),
		TargetMillis:  1000,
		Tries:         3,
		Sticky:        k.stream,
		GapMillis:     1000,
	}
}

// requestKind is a kind of request.
type requestKind struct {
	name       string
	routeKind  string // in the configuration
	service    string
	idempotent bool
	stream     bool
}

// The kinds.
var (
	kindChat     = requestKind{name: "chat", routeKind: "stream", service: serviceWriter, stream: true}
	kindStock    = requestKind{name: "stock", routeKind: "repeatable", service: serviceStock, idempotent: true}
	kindOrder    = requestKind{name: "order", routeKind: "once_only", service: serviceStock}
	requestKinds = []requestKind{kindChat, kindStock, kindOrder}
)

// Tokens of each stream's prompt and output, and the number of its events.
const (
	promptTokens = 100
	outputTokens = 40
	streamEvents = outputTokens / 4
)

var tokenCount = strconv.Itoa(promptTokens) + "," + strconv.Itoa(outputTokens)

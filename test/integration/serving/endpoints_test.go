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
	drain         = 3 * time.Second
	endpointSlots = 16
	// connections of all proxies to an endpoint.
	connections = 100
)

// writerOptions describe a language model.
func writerOptions() endpoint.Options {
	return endpoint.Options{Service: serviceWriter, Slots: endpointSlots,
		Engine: &endpoint.Engine{DecodeStep: 2 * time.Millisecond, TokensPerEvent: 4}}
}

// stockOptions describe a plain service.
func stockOptions() endpoint.Options {
	return endpoint.Options{Service: serviceStock, Slots: endpointSlots, ProcessingTime: 10 * time.Millisecond}
}

// startEndpoint starts an endpoint whose requests the ledger notes.
func (c *cluster) startEndpoint(options endpoint.Options, number int, p place) *endpoint.Endpoint {
	options.Zone, options.Edition, options.HealthPath = p.zone, "v1", healthPath
	options.ListenAddress, options.Control = c.address(number, portEndpoint), c.control()
	options.HeartbeatInterval, options.DrainTime, options.MaxConnections = 500*time.Millisecond, drain, connections
	options.OnRequest = c.ledger.note
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

// document is a configuration with the usual routes and some to the plain service besides.
func document(version uint64, extra ...string) []byte {
	whole := configurationDocument{Version: version, Routes: []routeDocument{
		route(kindChat), route(kindStock), route(kindOrder),
	}, Services: []serviceDocument{
		{Name: serviceWriter, HealthPath: healthPath, Connections: connections,
			Engine: &engineDocument{Slots: endpointSlots, CacheTokens: 100_000, Stride: 4}},
		{Name: serviceStock, HealthPath: healthPath, Connections: connections},
	}}
	for _, name := range extra {
		more := route(kindStock)
		more.Name, more.Prefix = name, "/"+name+"/"
		whole.Routes = append(whole.Routes, more)
	}
	text, err := json.Marshal(whole)
	if err != nil {
		panic(err)
	}
	return text
}

func route(k kind) routeDocument {
	return routeDocument{Name: k.name, Host: host, Prefix: "/" + k.name + "/", Kind: k.word, Service: k.service,
		TimeoutMillis: int(patience.Milliseconds()), TargetMillis: 1000, Tries: 3, Sticky: k.stream, GapMillis: 1000}
}

// kind is a kind of request.
type kind struct {
	name       string
	word       string // of its route
	service    string
	repeatable bool
	stream     bool
}

// The kinds.
var (
	kindChat  = kind{name: "chat", word: "stream", service: serviceWriter, stream: true}
	kindStock = kind{name: "stock", word: "repeatable", service: serviceStock, repeatable: true}
	kindOrder = kind{name: "order", word: "once_only", service: serviceStock}
	kinds     = []kind{kindChat, kindStock, kindOrder}
)

// promptTokens and answerTokens are those of each stream; it has so many events.
const (
	promptTokens = 100
	answerTokens = 40
	answerEvents = answerTokens / 4
)

var tokenCount = strconv.Itoa(promptTokens) + "," + strconv.Itoa(answerTokens)

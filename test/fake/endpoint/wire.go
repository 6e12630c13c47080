package endpoint

// Names of the headers exchanged with callers.
const (
	headerAttempt      = "X-Attempt-Id"
	headerTimeLeft     = "X-Time-Left"
	headerDeliverTo    = "X-Deliver-To"
	headerEndpoint     = "X-Endpoint-Id"
	headerNotDelivered = "X-Not-Delivered"
	headerStamp        = "X-Postmark"
	headerModel        = "X-Model"
	headerTokens       = "X-Token-Count"
	headerPrompt       = "X-Prompt-Prefix"
	headerPriority     = "Priority"
	headerLastEvent    = "Last-Event-Id"
	headerColdLeft     = "X-Cold-Left"
	headerContentType  = "Content-Type"
)

// Media types.
const (
	typeJSON   = "application/json"
	typeStream = "text/event-stream"
)

// Paths at the endpoint and at the control addresses.
const (
	reportPath     = "/report"
	heartbeatPath  = "/Endpoints.Beat/"
	deregisterPath = "/Endpoints.SignOff/"
)

// The states that an endpoint reports.
const (
	stateAccepting = "accepting"
	stateClosing   = "closing"
	stageBoth      = "both"
)

// heartbeat is the body of a heartbeat.
type heartbeat struct {
	Service    string  `json:"carrier"`
	Address    string  `json:"address"`
	Zone       string  `json:"zone"`
	Edition    string  `json:"edition"`
	Slots      int     `json:"berths"`
	State      string  `json:"state"`
	ColdMillis int64   `json:"cold_left_ms"`
	Remaining  int64   `json:"remaining_ms,omitempty"`
	Stage      string  `json:"stage,omitempty"`
	Models     []model `json:"models,omitempty"`
	Sequence   uint64  `json:"call_seq"`
}

// model is a model that the endpoint serves.
type model struct {
	Name     string   `json:"name"`
	Edition  int      `json:"edition"`
	Adapters []string `json:"adapters"`
}

// heartbeatResponse is the body of the response to a heartbeat.
type heartbeatResponse struct {
	ForwardTo string `json:"forward_to"`
}

// loadReport is the body of the response to a request for the endpoint's load.
type loadReport struct {
	Stage      string  `json:"stage"`
	Models     []model `json:"models"`
	Busy       bool    `json:"busy"`
	Orders     uint64  `json:"call_seq"`
	Queued     int     `json:"queued"`
	Running    int     `json:"in_flight"`
	CacheUsed  int     `json:"cache_used"`
	CacheTotal int     `json:"cache_total"`
	Handles    int     `json:"handles"`
}

package agent

// Names in the directory's HTTP interface.
const (
	lookupPath  = "/lookup"
	queryRegion = "region"
	queryZone   = "zone"
	contentType = "application/json"
)

// lookupResponse is the body of a successful look-up.
type lookupResponse struct {
	Addresses  []string `json:"addresses"` // host:port, in the order in which to try them
	TTLSeconds float64  `json:"ttl_s"`
}

// lookupError is the body of a failed look-up.
type lookupError struct {
	Error string `json:"error"`
	Code  uint16 `json:"code"` // errcode.Code
}

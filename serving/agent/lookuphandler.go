package agent

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"rowanlink/serving/errcode"
	"rowanlink/serving/state"
)

// defaultTTL is how long clients should cache an answer. Some clients cache it three times as long, so a proxy that shuts
// down goes on accepting requests for slightly more than three times this TTL.
const defaultTTL = time.Second

// lookupHandler is the directory: it answers clients that look up the addresses of proxies.
type lookupHandler struct {
	members func() []state.Member // live members
	isReady func() bool           // false: the agent has just started and may know too few members
	regions map[string]string     // region by zone
	maxTTL  time.Duration         // 0: no limit

	mutex  sync.Mutex // guards random
	random *rand.Rand
}

// ServeHTTP implements http.Handler.
func (h *lookupHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != lookupPath:
		writeError(w, errcode.DirectoryNotFound)
	case r.Method != http.MethodGet:
		w.Header().Set("Allow", http.MethodGet)
		writeError(w, errcode.DirectoryMethodNotAllowed)
	default:
		h.serveLookup(w, r)
	}
}

// serveLookup answers a look-up with addresses, or with an error if the agent isn't ready or knows no ready proxy.
func (h *lookupHandler) serveLookup(w http.ResponseWriter, r *http.Request) {
	if !h.isReady() {
		writeError(w, errcode.DirectoryEmpty)
		return
	}
	query := r.URL.Query()
	client := clientLocation{Zone: query.Get(queryZone), Region: query.Get(queryRegion)}.resolve(h.regions)
	addresses := h.chooseAddresses(client)
	if len(addresses) == 0 {
		writeError(w, errcode.DirectoryEmpty)
		return
	}
	ttl := defaultTTL
	if h.maxTTL > 0 {
		ttl = min(ttl, h.maxTTL)
	}
	writeJSON(w, http.StatusOK, lookupResponse{Addresses: addresses, TTLSeconds: ttl.Seconds()})
}

// chooseAddresses chooses addresses among those of the live members. It is safe for concurrent use.
func (h *lookupHandler) chooseAddresses(client clientLocation) []string {
	members := h.members()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return chooseAddresses(members, client, h.random)
}

// writeError writes the error response for a kind of error.
func writeError(w http.ResponseWriter, kind errcode.Kind) {
	writeJSON(w, kind.Status, lookupError{Error: kind.Message, Code: uint16(kind.Code)})
}

// writeJSON writes a JSON response. A failed write is ignored, since it means that the client has disconnected.
func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		status, encoded = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

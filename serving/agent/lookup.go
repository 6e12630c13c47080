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

// ttl is how long clients should keep an answer. Some keep it three times as long; a proxy that ends takes
// requests for a little longer than that.
const ttl = time.Second

// lookupHandler answers clients that ask where to go.
type lookupHandler struct {
	live    func() []state.Member // members known to run
	settled func() bool           // false: the agent has only just begun and may know too few members
	regions map[string]string     // region by zone
	ttlMost time.Duration

	mutex  sync.Mutex
	random *rand.Rand
}

// ServeHTTP implements http.Handler.
func (h *lookupHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != lookupPath:
		refuse(w, errcode.DirectoryNotFound)
	case r.Method != http.MethodGet:
		w.Header().Set("Allow", http.MethodGet)
		refuse(w, errcode.DirectoryWrongVerb)
	default:
		h.lookup(w, r)
	}
}

func (h *lookupHandler) lookup(w http.ResponseWriter, r *http.Request) {
	if !h.settled() {
		refuse(w, errcode.DirectoryEmpty)
		return
	}
	query := r.URL.Query()
	client := place{Zone: query.Get(queryZone), Region: query.Get(queryRegion)}.resolve(h.regions)
	live := h.live()
	h.mutex.Lock()
	addresses := choose(live, client, h.random)
	h.mutex.Unlock()
	if len(addresses) == 0 {
		refuse(w, errcode.DirectoryEmpty)
		return
	}
	keep := ttl
	if h.ttlMost > 0 {
		keep = min(keep, h.ttlMost)
	}
	answer(w, http.StatusOK, lookupAnswer{Addresses: addresses, TTLSeconds: keep.Seconds()})
}

func refuse(w http.ResponseWriter, kind errcode.Kind) {
	answer(w, kind.Status, lookupError{Error: kind.Message, Code: uint16(kind.Code)})
}

// answer writes a JSON answer. A client that has gone is no one to tell of an error.
func answer(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		status, encoded = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

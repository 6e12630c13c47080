package operator

import (
	"context"
	"net/http"

	"github.com/rs/zerolog"

	"rowanlink/serving/errcode"
	"rowanlink/serving/event"
)

// EvacuationResource handles the evacuation of zones.
type EvacuationResource struct {
	register Register
	regions  map[string]string // region by zone
	log      *zerolog.Logger
}

// Begin starts the evacuation of a zone: its endpoints get no more requests.
func (e *EvacuationResource) Begin(w http.ResponseWriter, r *http.Request) { e.set(w, r, true) }

// End ends the evacuation of a zone.
func (e *EvacuationResource) End(w http.ResponseWriter, r *http.Request) { e.set(w, r, false) }

// set starts or ends an evacuation. It responds with 200 once the change is committed, 404 for a zone that isn't in the
// settings, 503 if the outcome is in doubt. The change is abandoned if the caller disconnects: unlike a configuration
// it has no base version, so that a late commit might undo a change that the operator made afterwards.
func (e *EvacuationResource) set(w http.ResponseWriter, r *http.Request, active bool) {
	zone := r.PathValue("zone")
	if _, isKnown := e.regions[zone]; !isKnown {
		writeError(w, errcode.ZoneUnknown.With("%q", zone))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	if err := e.register.SetEvacuation(ctx, zone, active); err != nil {
		event.ChangeInDoubt.Log(e.log).Str("zone", zone).Bool("active", active).Err(err).Send()
		writeError(w, errcode.ChangeInDoubt.With("%v", err))
		return
	}
	event.EvacuationAcknowledged.Log(e.log).Str("zone", zone).Bool("active", active).Send()
	writeJSON(w, http.StatusOK, emptyBody)
}

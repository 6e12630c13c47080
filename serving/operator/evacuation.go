package operator

import (
	"context"
	"net/http"

	"github.com/rs/zerolog"

	"rowanlink/serving/errcode"
	"rowanlink/serving/event"
)

// EvacuationResource holds the evacuations of zones.
type EvacuationResource struct {
	register Register
	regions  map[string]string
	log      *zerolog.Logger
}

// Begin orders that nothing more go to the endpoints of a zone.
func (c *EvacuationResource) Begin(w http.ResponseWriter, r *http.Request) { c.set(w, r, true) }

// End takes the order back.
func (c *EvacuationResource) End(w http.ResponseWriter, r *http.Request) { c.set(w, r, false) }

// set answers 200 when a majority holds the order, 404 for a zone that isn't in the settings, 503 when it is open.
// The work ends when the caller leaves: done later, it might undo an order that followed.
func (c *EvacuationResource) set(w http.ResponseWriter, r *http.Request, active bool) {
	zone := r.PathValue("zone")
	if _, known := c.regions[zone]; !known {
		writeError(w, errcode.ZoneUnknown.With("%q", zone))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	if err := c.register.SetEvacuation(ctx, zone, active); err != nil {
		event.ChangeInDoubt.Log(c.log).Str("zone", zone).Bool("active", active).Err(err).Send()
		writeError(w, errcode.ChangeInDoubt.With("%v", err))
		return
	}
	event.EvacuationAcknowledged.Log(c.log).Str("zone", zone).Bool("active", active).Send()
	writeJSON(w, http.StatusOK, emptyBody)
}

package core

import (
	"time"

	"rowanlink/serving/endpoints"
	"rowanlink/serving/state"
)

const (
	// departureRetention is how long a departed endpoint stays on disk: as long as gossip retains it in running members.
	// This prevents a member that was partitioned from bringing the endpoint back after the others have restarted.
	departureRetention = 20 * time.Minute
	// minDepartureRetention is how long a departed endpoint stays on disk even if there are more than
	// maxRetainedDepartures.
	minDepartureRetention = time.Minute
	// maxRetainedDepartures is the number of draining and departed endpoints beyond which surplus departed ones are
	// dropped after minDepartureRetention, in no particular order.
	maxRetainedDepartures = 8192
)

// departures holds the endpoints that accept no new requests, in the state that is on disk or is to be saved. The table
// of endpoints may have an older state, and drops departed endpoints earlier. departures is not safe for concurrent
// use.
type departures struct{ byID map[string]departure }

// departure is an endpoint that is draining or has departed.
type departure struct {
	endpoint   state.Endpoint
	departedAt time.Time // by the clock of this process; zero while the endpoint is draining
	saved      bool      // this version is on disk
}

func newDepartures() departures { return departures{byID: map[string]departure{}} }

// isNewer reports whether an endpoint's version is newer than the departure with the same ID; true if there is none.
func (d *departures) isNewer(endpoint state.Endpoint) bool {
	known, exists := d.byID[endpoint.ID]
	return !exists || endpoints.VersionOf(known.endpoint).Less(endpoints.VersionOf(endpoint))
}

// record records the state of an endpoint unless a newer one is known, and returns the newest known state.
func (d *departures) record(now time.Time, endpoint state.Endpoint) state.Endpoint {
	if !d.isNewer(endpoint) {
		return d.byID[endpoint.ID].endpoint
	}
	switch endpoint.State {
	case state.EndpointAccepting:
		delete(d.byID, endpoint.ID)
	case state.EndpointDraining:
		d.byID[endpoint.ID] = departure{endpoint: endpoint}
	case state.EndpointDeparted:
		endpoint.Models = nil
		d.byID[endpoint.ID] = departure{endpoint: endpoint, departedAt: now}
	}
	return endpoint
}

// setSaved records whether the listed versions of endpoints are on disk. Versions that aren't the newest known ones are
// ignored.
func (d *departures) setSaved(list []state.Endpoint, saved bool) {
	for _, endpoint := range list {
		known, exists := d.byID[endpoint.ID]
		if exists && endpoints.VersionOf(known.endpoint) == endpoints.VersionOf(endpoint) {
			known.saved = saved
			d.byID[endpoint.ID] = known
		}
	}
}

// isSaved reports whether this version of an endpoint, or a newer one, is on disk.
func (d *departures) isSaved(endpoint state.Endpoint) bool {
	return !d.isNewer(endpoint) && d.byID[endpoint.ID].saved
}

// contains reports whether the endpoint with the ID is known to accept no new requests.
func (d *departures) contains(id string) bool {
	_, exists := d.byID[id]
	return exists
}

// all returns all endpoints, in no particular order.
func (d *departures) all() []state.Endpoint {
	list := make([]state.Endpoint, 0, len(d.byID))
	for _, known := range d.byID {
		list = append(list, known.endpoint)
	}
	return list
}

// removeExpired removes the departed endpoints that need not stay on disk any longer, and returns their IDs.
func (d *departures) removeExpired(now time.Time) (removed []string) {
	surplus := len(d.byID) - maxRetainedDepartures
	for id, known := range d.byID {
		if known.departedAt.IsZero() {
			continue
		}
		age := now.Sub(known.departedAt)
		isSurplus := surplus > 0 && age > minDepartureRetention
		if age <= departureRetention && !isSurplus {
			continue
		}
		surplus--
		delete(d.byID, id)
		removed = append(removed, id)
	}
	return removed
}

package proxy

import (
	"time"

	"github.com/cockroachdb/errors"

	"rowanlink/serving/placement"
	"rowanlink/serving/routing"
	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

// systemView is the state of the cluster as the agent has reported it. It performs no I/O.
type systemView struct {
	record    *state.Record
	table     *routing.Table // of the newest valid configuration; nil: none yet
	endpoints map[string]state.Endpoint
	proxies   subscription.ProxyCounts
	cursor    subscription.Cursor
}

func newSystemView() *systemView { return &systemView{endpoints: map[string]state.Endpoint{}} }

// endpointsBecomingUnused returns the IDs of the endpoints that accept requests now and will no longer do so once the
// response of the agent has been applied. Endpoints that the response removes are not included.
func (v *systemView) endpointsBecomingUnused(response *subscription.Response) (ids []string) {
	for _, endpoint := range response.Endpoints {
		known, exists := v.endpoints[endpoint.ID]
		wasAccepting := exists && known.State == state.EndpointAccepting
		if wasAccepting && endpoint.State != state.EndpointAccepting {
			ids = append(ids, endpoint.ID)
		}
	}
	return ids
}

// apply applies a response of the agent. An error means that the configuration in it is invalid; everything else has
// been applied nevertheless.
func (v *systemView) apply(response *subscription.Response) error {
	if response.Complete {
		clear(v.endpoints)
	}
	for _, endpoint := range response.Endpoints {
		v.endpoints[endpoint.ID] = endpoint
	}
	for _, id := range response.Removed {
		delete(v.endpoints, id)
	}
	v.proxies = response.Proxies
	v.cursor = response.Cursor
	return v.applyRecord(response.Record)
}

// applyRecord applies a record if it is newer than the current one. If its configuration is invalid, it returns an
// error and keeps the table of the last valid configuration.
func (v *systemView) applyRecord(record *state.Record) error {
	if record == nil || v.record != nil && record.Revision <= v.record.Revision {
		return nil
	}
	previous := state.Configuration{}
	if v.record != nil {
		previous = v.record.Configuration
	}
	v.record = record
	configuration := record.Configuration
	if configuration.Version == 0 || configuration.Version == previous.Version && configuration.Digest == previous.Digest {
		return nil
	}
	document, err := configuration.Decompress()
	if err != nil {
		return err
	}
	table, err := routing.Parse(document)
	if err != nil {
		return errors.Wrapf(err, "configuration %d", configuration.Version)
	}
	v.table = table
	return nil
}

// snapshot returns the state that the picker needs. Load reports and leases are not kept in the view; they are those of
// the response that has just been applied.
func (v *systemView) snapshot(loads []state.Load, leases []state.RolloutLease) placement.Snapshot {
	endpoints := make([]state.Endpoint, 0, len(v.endpoints))
	for _, endpoint := range v.endpoints {
		endpoints = append(endpoints, endpoint)
	}
	return placement.Snapshot{
		Routing:       v.table,
		Endpoints:     endpoints,
		Loads:         loads,
		Record:        v.record,
		Proxies:       v.proxies,
		RolloutLeases: leases,
	}
}

// canServe reports whether the process has what it needs to serve: a configuration and an endpoint that accepts
// requests.
func (v *systemView) canServe() bool {
	if v.table == nil {
		return false
	}
	for _, endpoint := range v.endpoints {
		if endpoint.State == state.EndpointAccepting {
			return true
		}
	}
	return false
}

// pollTimeout returns how long a whole poll may take if the agent may wait for updates for the given time.
func pollTimeout(wait time.Duration) time.Duration { return wait + pollSlack }

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
	table     *routing.Table // of the newest configuration that is valid; nil: none yet
	endpoints map[string]state.Endpoint
	proxies   subscription.ProxyCounts
	cursor    subscription.Cursor
}

func newSystemView() *systemView { return &systemView{endpoints: map[string]state.Endpoint{}} }

// endpointsToStop returns the endpoints, by ID, that accept requests now and won't after a response of the agent.
func (v *systemView) endpointsToStop(response *subscription.Response) (ids []string) {
	for _, endpoint := range response.Endpoints {
		known, exists := v.endpoints[endpoint.ID]
		wasAccepting := exists && known.State == state.EndpointAccepting
		if wasAccepting && endpoint.State != state.EndpointAccepting {
			ids = append(ids, endpoint.ID)
		}
	}
	return ids
}

// apply applies a response of the agent. An error means that its configuration is invalid; everything else is applied.
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

// applyRecord applies a record unless it is older than the current one.
func (v *systemView) applyRecord(record *state.Record) error {
	if record == nil || v.record != nil && record.Revision <= v.record.Revision {
		return nil
	}
	before := state.Configuration{}
	if v.record != nil {
		before = v.record.Configuration
	}
	v.record = record
	now := record.Configuration
	if now.Version == 0 || now.Version == before.Version && now.Digest == before.Digest {
		return nil
	}
	document, err := now.Decompress()
	if err != nil {
		return err
	}
	table, err := routing.Parse(document)
	if err != nil {
		return errors.Wrapf(err, "configuration %d", now.Version)
	}
	v.table = table
	return nil
}

// snapshot returns the state for the picker. The load reports and leases are those of the last response.
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

// canServe reports whether the process knows enough to serve: a configuration and an endpoint that accepts requests.
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

// pollTimeout returns how long a poll may take altogether.
func pollTimeout(wait time.Duration) time.Duration { return wait + pollSlack }

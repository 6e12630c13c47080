package proxy

import (
	"time"

	"github.com/cockroachdb/errors"

	"rowanlink/serving/placement"
	"rowanlink/serving/routing"
	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

// systemView is what a proxy has been told of the system. It does no I/O.
type systemView struct {
	record    *state.Record
	table     *routing.Table // of the newest configuration that could be read; nil: none yet
	endpoints map[string]state.Endpoint
	proxies   subscription.ProxyCounts
	cursor    subscription.Cursor
}

func newSystemView() *systemView { return &systemView{endpoints: map[string]state.Endpoint{}} }

// apply applies an answer of the agent. The error tells that its configuration can't be read; all else is applied.
func (k *systemView) apply(response *subscription.Response) error {
	if response.Complete {
		clear(k.endpoints)
	}
	for _, endpoint := range response.Endpoints {
		k.endpoints[endpoint.ID] = endpoint
	}
	for _, id := range response.Removed {
		delete(k.endpoints, id)
	}
	k.proxies = response.Proxies
	k.cursor = response.Cursor
	return k.applyRecord(response.Record)
}

// applyRecord takes a record in, unless it is older than the one known: within a process's life nothing goes back.
func (k *systemView) applyRecord(record *state.Record) error {
	if record == nil || k.record != nil && record.Revision <= k.record.Revision {
		return nil
	}
	before := state.Configuration{}
	if k.record != nil {
		before = k.record.Configuration
	}
	k.record = record
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
	k.table = table
	return nil
}

// snapshot puts what is known into placement's words. Loads are those of the last answer.
func (k *systemView) snapshot(loads []state.Load) placement.Snapshot {
	endpoints := make([]state.Endpoint, 0, len(k.endpoints))
	for _, endpoint := range k.endpoints {
		endpoints = append(endpoints, endpoint)
	}
	return placement.Snapshot{
		Routing: k.table, Endpoints: endpoints, Loads: loads, Record: k.record, Proxies: k.proxies,
	}
}

// canServe tells whether the process knows enough to serve: a configuration and some endpoint.
func (k *systemView) canServe() bool {
	if k.table == nil {
		return false
	}
	for _, endpoint := range k.endpoints {
		if endpoint.State == state.EndpointAccepting {
			return true
		}
	}
	return false
}

// pollTimeout is how long a poll may take altogether.
func pollTimeout(wait time.Duration) time.Duration { return wait + pollSlack }

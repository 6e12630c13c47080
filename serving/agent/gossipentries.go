package agent

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"rowanlink/serving/event"
	"rowanlink/serving/gossip"
	"rowanlink/serving/state"
)

// subscribeToGossip registers subscribers that apply gossiped records, endpoints and loads to the agent's state.
func (a *agent) subscribeToGossip() {
	a.members.Subscribe(gossip.TableRecord, func(entry gossip.Entry) {
		applyEntry(a, entry, func(s *agentState, _ time.Time, record state.Record) {
			if s.publisher.setRecord(&record) {
				event.RecordUpdated.Log(a.log).
					Uint64("revision", record.Revision).
					Uint64("version", record.Configuration.Version).
					Send()
			}
		})
	})
	a.members.Subscribe(gossip.TableEndpoints, func(entry gossip.Entry) {
		applyEntry(a, entry, func(s *agentState, now time.Time, endpoint state.Endpoint) {
			s.publisher.mergeEndpoint(now, endpoint)
		})
	})
	a.members.Subscribe(gossip.TableLoads, func(entry gossip.Entry) {
		applyEntry(a, entry, func(s *agentState, _ time.Time, load state.Load) { s.publisher.setLoad(load) })
	})
}

// applyEntry decodes an entry and applies its value on the goroutine that owns the agent's state. An entry that can't
// be decoded is logged and dropped.
func applyEntry[Value any](a *agent, entry gossip.Entry, apply func(*agentState, time.Time, Value)) {
	var value Value
	if err := cbor.Unmarshal(entry.Value, &value); err != nil {
		event.AgentEntryUnreadable.Log(a.log).
			Uint8("table", uint8(entry.Table)).
			Str("key", entry.Key).
			Err(err).
			Send()
		return
	}
	now := time.Now()
	a.stateActor.Send(func(s *agentState) { apply(s, now, value) })
}

package core

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"rowanlink/serving/event"
	"rowanlink/serving/gossip"
	"rowanlink/serving/register"
	"rowanlink/serving/state"
)

// recordGossip is the part of member.Service that replicates records.
type recordGossip interface {
	Put(entry gossip.Entry)
	Subscribe(table gossip.TableID, call func(gossip.Entry))
}

// recordReplicator gossips the records that the register finds to be committed, and passes the gossiped records of
// other members to the register.
type recordReplicator struct {
	gossip recordGossip
	log    *zerolog.Logger
}

// publish gossips a committed record.
func (r *recordReplicator) publish(record state.Record) {
	value, err := cbor.Marshal(record)
	if err != nil {
		event.RecordUnreadable.Log(r.log).Err(err).Send()
		return
	}
	entry := recordHeader(record)
	entry.Value = value
	r.gossip.Put(entry)
}

// subscribe passes the gossiped records of other members to the node.
func (r *recordReplicator) subscribe(node *register.Node) {
	r.gossip.Subscribe(gossip.TableRecord, func(entry gossip.Entry) {
		var record state.Record
		if err := cbor.Unmarshal(entry.Value, &record); err != nil {
			event.RecordUnreadable.Log(r.log).Err(err).Send()
			return
		}
		node.Learn(record)
	})
}

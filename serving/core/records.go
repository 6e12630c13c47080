package core

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"rowanlink/serving/event"
	"rowanlink/serving/gossip"
	"rowanlink/serving/register"
	"rowanlink/serving/state"
)

// recordMesh is what the spread of records needs of the mesh.
type recordMesh interface {
	Put(entry gossip.Entry)
	Subscribe(table gossip.TableID, call func(gossip.Entry))
}

// records passes committed records between the register and the mesh.
type records struct {
	mesh recordMesh
	log  *zerolog.Logger
}

// spread tells the other members of a record that was found to be committed here.
func (r *records) spread(record state.Record) {
	value, err := cbor.Marshal(record)
	if err != nil {
		event.RecordUnreadable.Log(r.log).Err(err).Send()
		return
	}
	r.mesh.Put(gossip.Entry{Table: gossip.TableRecord, Key: gossip.RecordKey,
		Version: gossip.NewVersion(record.Revision, 0), Value: value})
}

// subscribe has the node learn what other members tell.
func (r *records) subscribe(node *register.Node) {
	r.mesh.Subscribe(gossip.TableRecord, func(entry gossip.Entry) {
		var record state.Record
		if err := cbor.Unmarshal(entry.Value, &record); err != nil {
			event.RecordUnreadable.Log(r.log).Err(err).Send()
			return
		}
		node.Learn(record)
	})
}

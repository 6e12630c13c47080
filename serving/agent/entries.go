package agent

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"rowanlink/serving/event"
	"rowanlink/serving/gossip"
	"rowanlink/serving/state"
)

// subscribe takes in what the mesh brings.
func (a *agent) subscribe() {
	a.mesh.Subscribe(gossip.TableRecord, func(entry gossip.Entry) {
		takeEntry(a, entry, func(b *board, _ time.Time, record state.Record) {
			if b.news.takeRecord(&record) {
				event.RecordTaken.Log(a.log).Uint64("revision", record.Revision).
					Uint64("version", record.Configuration.Version).Send()
			}
		})
	})
	a.mesh.Subscribe(gossip.TableEndpoints, func(entry gossip.Entry) {
		takeEntry(a, entry, func(b *board, now time.Time, endpoint state.Endpoint) {
			b.news.takeEndpoint(now, endpoint)
		})
	})
	a.mesh.Subscribe(gossip.TableLoads, func(entry gossip.Entry) {
		takeEntry(a, entry, func(b *board, _ time.Time, load state.Load) { b.news.takeLoad(load) })
	})
}

// takeEntry decodes an entry and has the board's owner take it in.
func takeEntry[Value any](a *agent, entry gossip.Entry, take func(*board, time.Time, Value)) {
	var value Value
	if err := cbor.Unmarshal(entry.Value, &value); err != nil {
		event.FeedEntryUnreadable.Log(a.log).Uint8("table", uint8(entry.Table)).Str("key", entry.Key).Err(err).Send()
		return
	}
	now := time.Now()
	a.board.Send(func(b *board) { take(b, now, value) })
}

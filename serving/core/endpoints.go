package core

import (
	"context"

	"rowanlink/serving/endpoints/exchange"
	"rowanlink/serving/quorum"
	"rowanlink/serving/store"
)

// startEndpoints starts the table of endpoints, restores the saved endpoints, and keeps the copy on disk up to date.
func (c *coreProcess) startEndpoints(lifetime context.Context) {
	process := c.options.Settings
	c.quorum = &quorum.Checker{Voters: c.node, Self: process.InternalAddress(), IsLive: c.members.IsLiveAt}
	endpointStore := store.OpenEndpointStore(process.StoreDir, c.options.Log)
	c.onClose(endpointStore.Close)
	saver := newEndpointSaver(endpointStore, c.options.Log)
	confirmer := &endpointConfirmer{latest: c.node.Latest, check: newHealthChecker().check}
	c.endpoints = exchange.Start(lifetime, exchange.Options{
		Gossip:            c.members,
		HeartbeatInterval: process.HeartbeatInterval,
		HasQuorum:         c.quorum.HasQuorum,
		Persist:           saver.persist,
		Confirm:           confirmer.confirm,
		Log:               c.options.Log,
	})
	c.endpoints.Serve(c.internal)
	c.members.SetPersister(c.endpoints.PersistEntries)
	go saver.run(lifetime)
	restorer := &endpointRestorer{
		self:      process.NodeName,
		store:     endpointStore,
		confirmer: confirmer,
		table:     c.endpoints.Table(),
		publish:   c.endpoints.Put,
		log:       c.options.Log,
	}
	// The table is saved only after the restore: a snapshot before would remove endpoints that aren't restored yet.
	go func() { saver.startPeriodicSaves(restorer.table, restorer.run(lifetime)) }()
}

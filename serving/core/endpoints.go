package core

import (
	"context"

	"rowanlink/serving/endpoints/exchange"
	"rowanlink/serving/quorum"
	"rowanlink/serving/store"
)

// startEndpoints starts the table of endpoints and its copy on disk.
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
	c.endpoints.Serve(c.inner)
	c.members.SetPersister(c.endpoints.PersistEntries)
	go saver.run(lifetime)
	go c.restoreEndpoints(lifetime, endpointStore, saver)
}

// restoreEndpoints restores the endpoints that were saved, and then has the changes of the table saved.
func (c *coreProcess) restoreEndpoints(ctx context.Context, endpointStore *store.EndpointStore, saver *endpointSaver) {
	restorer := &endpointRestorer{
		self:    c.options.Settings.NodeName,
		store:   endpointStore,
		latest:  c.node.Latest,
		table:   c.endpoints.Table(),
		publish: c.endpoints.Put,
		check:   newHealthChecker().check,
		log:     c.options.Log,
	}
	saved := restorer.run(ctx)
	saver.startPeriodicSaves(c.endpoints.Table(), saved)
}

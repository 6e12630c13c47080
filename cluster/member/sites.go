package member

import (
	"github.com/tidwall/gjson"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/site"
	"rowanlink/webhook/api"
)

// newSites makes what joins this member's dispatcher to site streams.
func (m *Member) newSites() *site.Sites {
	d := m.dispatcher
	return site.New(site.Options{Self: m.self, StateDir: d.State, DiskMB: diskMB(d.Told), Exchange: d.Exchange,
		Decider: d.Decider, Messenger: m.client, IsAccepting: d.Life.TakesOn, NotifyHandoff: m.wake, EventType: m.eventType,
		IsRangeOwner: m.isOwnerOf, IsSiteOwner: m.isSiteOwner, IsOwnerUnknown: m.isSiteIsolated,
		BufferCapacity: func() int { return m.settings.Load().BufferSize }}, m.file)
}

// isOwnerOf is whether this member is home of a destination, by the grant that it holds.
func (m *Member) isOwnerOf(d api.DestinationID) bool {
	return m.ownership.Verdict(d).Action == shardmap.Serve
}

// isSiteOwner is whether it is home of where a site's subscribers stand.
func (m *Member) isSiteOwner(s cluster.SiteID) bool {
	return m.ownership.VerdictForKey(cluster.SiteKeyHash(s)).Action == shardmap.Serve
}

// isSiteIsolated is whether nobody may be home there, as no keeper is reached.
func (m *Member) isSiteIsolated(s cluster.SiteID) bool {
	return m.ownership.VerdictForKey(cluster.SiteKeyHash(s)).Action == shardmap.ServeIsolated
}

// defaultDiskMB is what the dispatcher's own journal has where nothing is told.
const defaultDiskMB = 3

// diskMB is for a relay's journal, beside the dispatcher's own: as much again.
func diskMB(told gjson.Result) float64 {
	if mb := told.Get("limits.disk_mb").Float(); mb > 0 {
		return mb
	}
	return defaultDiskMB
}

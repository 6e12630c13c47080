package member

import (
	"github.com/tidwall/gjson"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/site"
	"rowanlink/webhook/api"
)

// newSites creates the streams between this member's dispatcher and the relays of sites.
func (m *Member) newSites() *site.Sites {
	d := m.dispatcher
	return site.New(site.Options{
		Self:           m.self,
		StateDir:       d.StateDir,
		DiskMB:         diskMB(d.Configuration),
		Inbox:          d.Inbox,
		Loop:           d.Loop,
		Messenger:      m.client,
		IsAccepting:    d.Lifecycle.AcceptsWebhooks,
		NotifyHandoff:  m.wake,
		EventType:      m.eventType,
		IsRangeOwner:   m.isOwnerOf,
		IsSiteOwner:    m.isSiteOwner,
		IsOwnerUnknown: m.isSiteIsolated,
		BufferCapacity: func() int { return m.settings.Load().BufferSize },
	}, m.file)
}

// isOwnerOf reports whether this member owns a destination's range and holds the range's lease.
func (m *Member) isOwnerOf(d api.DestinationID) bool {
	return m.ownership.Decide(d).Action == shardmap.Serve
}

// isSiteOwner reports whether this member owns the range of a site's subscribers and holds the range's lease.
func (m *Member) isSiteOwner(s cluster.SiteID) bool {
	return m.ownership.DecideForKey(cluster.SiteKeyHash(s)).Action == shardmap.Serve
}

// isSiteIsolated reports whether this member is isolated, so that it can't know or reach the owner of the range of a
// site's subscribers.
func (m *Member) isSiteIsolated(s cluster.SiteID) bool {
	return m.ownership.DecideForKey(cluster.SiteKeyHash(s)).Action == shardmap.ServeIsolated
}

// defaultDiskMB is the default disk space of the dispatcher's own journal.
const defaultDiskMB = 3

// diskMB returns the maximum disk space for a relay's journal in MB: the same as for the dispatcher's own journal.
func diskMB(settings gjson.Result) float64 {
	if mb := settings.Get("limits.disk_mb").Float(); mb > 0 {
		return mb
	}
	return defaultDiskMB
}

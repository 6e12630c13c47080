package member

import (
	"github.com/tidwall/gjson"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/site"
	"rowanlink/webhook/api"
)

// joins makes what joins this member's dispatcher to site streams.
func (m *Member) joins() *site.Sites {
	d := m.d
	return site.New(site.Part{Self: m.self, State: d.State, DiskMB: diskMB(d.Told), Exchange: d.Exchange,
		Decider: d.Decider, Said: m.talk, Takes: d.Life.TakesOn, Nudge: m.nudge, Event: m.event,
		Serves: m.serves, Home: m.homeOf, Alone: m.alone,
		Buffer: func() int { return m.facts.Load().Buffer }}, m.file)
}

// serves is whether this member is home of a destination, by the grant that it holds.
func (m *Member) serves(d api.DestinationID) bool {
	return m.homes.Verdict(d).Do == shardmap.Serve
}

// homeOf is whether it is home of where a site's subscribers stand.
func (m *Member) homeOf(s cluster.SiteID) bool {
	return m.homes.VerdictAt(cluster.SiteKeyHash(s)).Do == shardmap.Serve
}

// alone is whether nobody may be home there, as no keeper is reached.
func (m *Member) alone(s cluster.SiteID) bool {
	return m.homes.VerdictAt(cluster.SiteKeyHash(s)).Do == shardmap.Alone
}

// leastDiskMB is what the dispatcher's own journal has where nothing is told.
const leastDiskMB = 3

// diskMB is for a relay's journal, beside the dispatcher's own: as much again.
func diskMB(told gjson.Result) float64 {
	if mb := told.Get("limits.disk_mb").Float(); mb > 0 {
		return mb
	}
	return leastDiskMB
}

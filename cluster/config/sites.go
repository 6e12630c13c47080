package config

import (
	"github.com/hashicorp/hcl/v2"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

type siteBlock struct {
	ID          string    `hcl:"name,label"`
	Relay       string    `hcl:"relay"`
	Subscribers []uint32  `hcl:"subscribers"`
	Position    hcl.Range `hcl:",def_range"`
}

type listBlock struct {
	ID          string    `hcl:"name,label"`
	Subscribers []uint32  `hcl:"subscribers"`
	Position    hcl.Range `hcl:",def_range"`
}

func (f *File) parseSites(blocks fileBlocks) error {
	siteOf := map[api.DestinationID]hcl.Range{}
	names := map[string]hcl.Range{}
	relays := map[string]hcl.Range{}
	for _, b := range blocks.Sites {
		if first, used := names[b.ID]; used || b.ID == "" {
			return errorAt(b.Position, "site %q: the name must be unique and not empty (see line %d)", b.ID, first.Start.Line)
		}
		names[b.ID] = b.Position
		if _, known := f.Member(cluster.MemberID(b.Relay)); !known {
			return errorAt(b.Position, "site %q: no member is called %q", b.ID, b.Relay)
		}
		if first, used := relays[b.Relay]; used {
			return errorAt(b.Position, "site %q: %s is the relay of the site in line %d already: a member can serve only one site",
				b.ID, b.Relay, first.Start.Line)
		}
		relays[b.Relay] = b.Position
		subscribers := parseSubscribers(b.Subscribers)
		for _, d := range subscribers {
			if first, used := siteOf[d]; used {
				return errorAt(b.Position, "destination %d is a subscriber of the site in line %d already: it can belong to only one",
					d, first.Start.Line)
			}
			siteOf[d] = b.Position
		}
		f.Sites = append(f.Sites, Site{
			ID:          cluster.SiteID(b.ID),
			Relay:       cluster.MemberID(b.Relay),
			Subscribers: subscribers,
		})
	}
	return nil
}

func (f *File) parseLists(blocks fileBlocks) error {
	names := map[string]hcl.Range{}
	for _, b := range blocks.Lists {
		if first, used := names[b.ID]; used || b.ID == "" {
			return errorAt(b.Position, "list %q: the name must be unique and not empty (see line %d)", b.ID, first.Start.Line)
		}
		names[b.ID] = b.Position
		if len(b.Subscribers) == 0 {
			return errorAt(b.Position, "list %q has no subscriber", b.ID)
		}
		f.Lists = append(f.Lists, List{ID: cluster.ListID(b.ID), Subscribers: parseSubscribers(b.Subscribers)})
	}
	return nil
}

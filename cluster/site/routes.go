package site

import (
	"slices"

	"rowanlink/cluster/config"
	"rowanlink/webhook/api"
)

// routes holds the sites and lists of an operator file. It is immutable once it is in use.
type routes struct {
	senders             []*siteSender // including those of removed sites whose relays may still have deliveries
	senderByDestination map[api.DestinationID]*siteSender
	lists               map[string][]api.DestinationID
	relayedHere         map[api.DestinationID]bool // the destinations whose relay is this member
}

// newRoutes returns the routes of an operator file. Unchanged sites keep the sender that they have in previous, which
// may be nil.
func (s *Sites) newRoutes(f config.File, previous *routes) *routes {
	r := &routes{
		senderByDestination: map[api.DestinationID]*siteSender{},
		lists:               map[string][]api.DestinationID{},
		relayedHere:         map[api.DestinationID]bool{},
	}
	for _, site := range f.Sites {
		if len(site.Subscribers) == 0 {
			continue
		}
		sender := previous.findUnchanged(site)
		if sender == nil {
			sender = newSiteSender(s, site)
		} else {
			sender.closing.Store(false)
		}
		r.senders = append(r.senders, sender)
		for _, d := range site.Subscribers {
			r.senderByDestination[d] = sender
			r.relayedHere[d] = site.Relay == s.self
		}
	}
	for _, former := range s.sendersInUse(previous) {
		isReplaced := slices.ContainsFunc(r.senders, func(sender *siteSender) bool {
			return sender.site.ID == former.site.ID && sender.site.Relay == former.site.Relay
		})
		if !isReplaced {
			former.closing.Store(true)
			r.senders = append(r.senders, former)
		}
	}
	for _, list := range f.Lists {
		r.lists[string(list.ID)] = list.Subscribers
	}
	return r
}

// findUnchanged returns the sender of a site with the same relay and subscribers, or nil.
func (r *routes) findUnchanged(site config.Site) *siteSender {
	if r == nil {
		return nil
	}
	for _, sender := range r.senders {
		isSame := sender.site.ID == site.ID && sender.site.Relay == site.Relay
		if isSame && slices.Equal(sender.site.Subscribers, site.Subscribers) {
			return sender
		}
	}
	return nil
}

// sendersInUse returns the senders of the previous routes whose relays may still have deliveries.
func (s *Sites) sendersInUse(previous *routes) (senders []*siteSender) {
	if previous == nil {
		return nil
	}
	for _, sender := range previous.senders {
		if len(s.sentLog.forSite(sender.site)) > 0 {
			senders = append(senders, sender)
		}
	}
	return senders
}

package shardmap

import (
	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// Admission is a member's answer to a webhook that was forwarded to it.
type Admission uint8

// The answers. The numbers are encoded.
const (
	AdmissionAccepted   Admission = iota + 1 // it is journalled here and this member has custody of it
	AdmissionRedirected                      // by a newer map it belongs to another owner
	AdmissionMapStale                        // this member's own map is the older one: try later
)

// AdmitKey returns a member's answer to a webhook that was forwarded by the given version of the map. With
// AdmissionRedirected, the decision names the owner.
func (m *Map) AdmitKey(member LocalMember, key cluster.KeyHash, senderVersion cluster.Version) (Admission, Decision) {
	decision := m.DecideKey(member, key)
	r, isMapped := m.RangeOf(key)
	switch {
	case isMapped && r.Owner == member.Member: // also when parked: it is this member's to take
		return AdmissionAccepted, decision
	case !isMapped || senderVersion > m.Version:
		return AdmissionMapStale, decision
	}
	return AdmissionRedirected, decision
}

// AdmitDestination is AdmitKey for a webhook of a destination.
func (m *Map) AdmitDestination(
	member LocalMember, destination api.DestinationID, senderVersion cluster.Version,
) (Admission, Decision) {
	admission, decision := m.AdmitKey(member, m.KeyOf(destination), senderVersion)
	if admission == AdmissionAccepted {
		decision = m.DecideDestination(member, destination)
	}
	return admission, decision
}

// MaxRedirects bounds how often one webhook is forwarded again, in one attempt, after a member named another owner.
const MaxRedirects = 1

// ShouldFollowRedirect reports whether the sender of a forwarded webhook tries the owner that a rejection named, after
// so many redirects. sent is the decision that it was forwarded by, redirect the one that came with the rejection. Since
// each redirect needs a strictly newer map, and MaxRedirects bounds their number, there is no loop. Otherwise the sender
// keeps the webhook until its map is as new as the one of the rejection.
func ShouldFollowRedirect(sent, redirect Decision, admission Admission, redirects int) bool {
	return admission == AdmissionRedirected &&
		redirect.Version > sent.Version &&
		redirect.Owner != sent.Owner &&
		redirects < MaxRedirects
}

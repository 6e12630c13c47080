package shardmap

import (
	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// Admission is a member's answer to a webhook that another member forwarded to it.
type Admission uint8

// The answers. The numbers are encoded.
const (
	AdmissionAccepted   Admission = iota + 1 // the member has journalled the webhook and has custody of it
	AdmissionRedirected                      // by this member's map, which is newer, another member owns the range
	AdmissionMapStale                        // this member's map is older than the sender's: try again later
)

// AdmitKey returns a member's answer to a webhook that was forwarded by the given version of the map. With
// AdmissionRedirected, the decision names the owner.
func (m *Map) AdmitKey(member LocalMember, key cluster.KeyHash, senderVersion cluster.Version) (Admission, Decision) {
	decision := m.DecideKey(member, key)
	r, isMapped := m.RangeOf(key)
	switch {
	case isMapped && r.Owner == member.Member: // even if the webhook is parked: this member is the one to take it
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

// MaxRedirects bounds how often one attempt to forward a webhook follows a redirect to another owner.
const MaxRedirects = 1

// ShouldFollowRedirect reports whether the sender of a forwarded webhook forwards it again, to the owner that a
// rejection named, after the given number of redirects. sent is the decision by which the webhook was forwarded;
// redirect is the one that came with the rejection. There is no loop, since each redirect requires a strictly newer
// map and MaxRedirects bounds their number. If the result is false, the sender keeps the webhook until its map is as
// new as the one of the rejection.
func ShouldFollowRedirect(sent, redirect Decision, admission Admission, redirects int) bool {
	return admission == AdmissionRedirected &&
		redirect.Version > sent.Version &&
		redirect.Owner != sent.Owner &&
		redirects < MaxRedirects
}

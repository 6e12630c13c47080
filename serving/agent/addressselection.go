package agent

import (
	"math/rand/v2"

	"rowanlink/serving/state"
)

const (
	// maxAddresses is the most addresses in one answer; clients don't use more.
	maxAddresses = 64
	// minZoneProxies is the least number of ready proxies in a zone for which its clients get only these. With a single
	// one, its loss would leave the clients without an address until their next look-up.
	minZoneProxies = 2
)

// clientLocation is the location that a client states in its look-up. Either part may be empty or unknown.
type clientLocation struct {
	Zone   string
	Region string
}

// resolve replaces the region by that of the zone if the zone is known. An unknown zone or region becomes empty, which
// means "any".
func (l clientLocation) resolve(regions map[string]string) clientLocation {
	region, isKnown := regions[l.Zone]
	if isKnown {
		return clientLocation{Zone: l.Zone, Region: region}
	}
	for _, knownRegion := range regions {
		if knownRegion == l.Region {
			return clientLocation{Region: l.Region}
		}
	}
	return clientLocation{}
}

// chooseAddresses selects the addresses of the proxies that a client should use: those of its zone if there are at least
// minZoneProxies, else those of its region, else all. A region with only one
// proxy still precedes other regions, because a client may always be served in its own region, while other regions may not
// be allowed to serve it. The order is random.
func chooseAddresses(members []state.Member, client clientLocation, random *rand.Rand) []string {
	var inZone, inRegion, anywhere []string
	for _, member := range members {
		if !isReadyProxy(member) {
			continue
		}
		anywhere = append(anywhere, member.ProxyAddress)
		if client.Region != "" && member.Region == client.Region {
			inRegion = append(inRegion, member.ProxyAddress)
		}
		if client.Zone != "" && member.Zone == client.Zone {
			inZone = append(inZone, member.ProxyAddress)
		}
	}
	chosen := anywhere
	switch {
	case len(inZone) >= minZoneProxies:
		chosen = inZone
	case len(inRegion) > 0:
		chosen = inRegion
	}
	random.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	return chosen[:min(len(chosen), maxAddresses)]
}

// isReadyProxy reports whether the member is an agent whose proxy is ready and accepts requests at a known address.
func isReadyProxy(member state.Member) bool {
	return member.Role == state.RoleAgent && member.State == state.MemberReady && member.ProxyAddress != ""
}

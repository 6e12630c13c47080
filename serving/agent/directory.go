package agent

import (
	"math/rand/v2"

	"rowanlink/serving/state"
)

const (
	// addressesMost is the number of addresses that a client takes from one answer.
	addressesMost = 64
	// zoneLeast is the number of proxies that make a zone enough for its own clients: with one, its loss would leave
	// them none until they ask again.
	zoneLeast = 2
)

// place is where a client says that it is. Either part may be empty or unknown.
type place struct {
	Zone   string
	Region string
}

// resolve completes and checks a place by the known zones. What isn't known becomes empty, which means "any".
func (p place) resolve(regions map[string]string) place {
	region, known := regions[p.Zone]
	if known {
		return place{Zone: p.Zone, Region: region}
	}
	for _, named := range regions {
		if named == p.Region {
			return place{Region: p.Region}
		}
	}
	return place{}
}

// choose picks the fronts of the proxies that a client should use: those of its zone where there are enough, else
// those of its region, else all. The region goes before the number of proxies because the client's own region may
// always serve it, while another may be barred. The order is drawn anew each time.
func choose(live []state.Member, client place, random *rand.Rand) []string {
	var inZone, inRegion, anywhere []string
	for _, member := range live {
		if member.Role != state.RoleAgent || member.State != state.MemberReady || member.ProxyAddress == "" {
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
	case len(inZone) >= zoneLeast:
		chosen = inZone
	case len(inRegion) > 0:
		chosen = inRegion
	}
	random.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	return chosen[:min(len(chosen), addressesMost)]
}

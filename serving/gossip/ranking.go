package gossip

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// candidatesPerTarget is the number of ranked peers from which one receiver is selected. The candidates change only
	// slowly, so that a member of a large system has few connections.
	candidatesPerTarget = 3
	// rankPeriod is how long a peer keeps its rank.
	rankPeriod = 120 * time.Second
	// rankInterval is the minimum time between two updates of the ranking, unless the peers have changed.
	rankInterval = 10 * time.Second
)

// peerRanking orders the peers pseudorandomly. The order is different on each member and changes slowly.
type peerRanking struct {
	startedAt time.Time
	updatedAt time.Time
	stale     bool // the peers have changed since the last update

	ranked       []Peer            // all peers by rank
	sameZone     []Peer            // those of the local zone
	otherZones   []Peer            // those of the region's other zones
	regions      []string          // the other regions, sorted
	otherRegions map[string][]Peer // their peers by region
}

// update ranks the peers again if the peers have changed or the last update was at least rankInterval ago.
func (r *peerRanking) update(now time.Time, options Options, peers []Peer) {
	if !r.stale && now.Sub(r.updatedAt) < rankInterval {
		return
	}
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	r.updatedAt = now
	r.stale = false
	ranks := make(map[string]uint64, len(peers))
	for _, peer := range peers {
		ranks[peer.Name] = r.rank(now, options.Name, peer.Name)
	}
	r.ranked = slices.Clone(peers)
	slices.SortFunc(r.ranked, func(a, b Peer) int { return cmp.Compare(ranks[a.Name], ranks[b.Name]) })
	r.groupByLocation(options)
}

// groupByLocation groups the ranked peers by zone and region.
func (r *peerRanking) groupByLocation(options Options) {
	r.sameZone = nil
	r.otherZones = nil
	r.otherRegions = map[string][]Peer{}
	for _, peer := range r.ranked {
		switch {
		case peer.Zone == options.Zone:
			r.sameZone = append(r.sameZone, peer)
		case peer.Region == options.Region:
			r.otherZones = append(r.otherZones, peer)
		default:
			r.otherRegions[peer.Region] = append(r.otherRegions[peer.Region], peer)
		}
	}
	r.regions = slices.Sorted(maps.Keys(r.otherRegions))
}

// rank returns the rank of a peer. It changes every rankPeriod, at a different time for each peer.
func (r *peerRanking) rank(now time.Time, self, peer string) uint64 {
	offset := time.Duration(xxhash.Sum64String(peer) % uint64(rankPeriod))
	period := strconv.FormatInt(int64((now.Sub(r.startedAt)+offset)/rankPeriod), 10)
	return xxhash.Sum64String(self + "\x00" + peer + "\x00" + period)
}

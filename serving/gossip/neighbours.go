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
	// neighboursPerCopy is from how many peers a receiver of a copy is drawn. The peers are the same for a while, so
	// that a member of a large system keeps few connections.
	neighboursPerCopy = 3
	// rankSpan is how long a peer keeps its rank.
	rankSpan = 120 * time.Second
	// rankInterval is the time between two looks at whose rank has changed.
	rankInterval = 10 * time.Second
)

// neighbours ranks the peers in an order that is drawn for each member and changes slowly.
type neighbours struct {
	start time.Time
	made  time.Time
	stale bool

	order     []Peer            // all peers by rank
	near      []Peer            // those of the own zone
	far       []Peer            // those of the region's other zones
	regions   []string          // the other regions, by name
	elsewhere map[string][]Peer // their peers
}

// update ranks the peers anew where they or their ranks have changed.
func (n *neighbours) update(now time.Time, options Options, peers []Peer) {
	if !n.stale && now.Sub(n.made) < rankInterval {
		return
	}
	if n.start.IsZero() {
		n.start = now
	}
	n.made, n.stale = now, false
	ranks := make(map[string]uint64, len(peers))
	for _, peer := range peers {
		ranks[peer.Name] = n.rank(now, options.Name, peer.Name)
	}
	n.order = slices.Clone(peers)
	slices.SortFunc(n.order, func(a, b Peer) int { return cmp.Compare(ranks[a.Name], ranks[b.Name]) })
	n.sortByPlace(options)
}

// sortByPlace divides the ranked peers by where they are.
func (n *neighbours) sortByPlace(options Options) {
	n.near, n.far, n.elsewhere = nil, nil, map[string][]Peer{}
	for _, peer := range n.order {
		switch {
		case peer.Zone == options.Zone:
			n.near = append(n.near, peer)
		case peer.Region == options.Region:
			n.far = append(n.far, peer)
		default:
			n.elsewhere[peer.Region] = append(n.elsewhere[peer.Region], peer)
		}
	}
	n.regions = slices.Sorted(maps.Keys(n.elsewhere))
}

// rank is a number that a peer keeps for rankSpan. Not all peers change theirs at the same moment.
func (n *neighbours) rank(now time.Time, own, peer string) uint64 {
	offset := time.Duration(xxhash.Sum64String(peer) % uint64(rankSpan))
	period := strconv.FormatInt(int64((now.Sub(n.start)+offset)/rankSpan), 10)
	return xxhash.Sum64String(own + "\x00" + peer + "\x00" + period)
}

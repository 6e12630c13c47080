package config

import (
	"net"

	"github.com/hashicorp/hcl/v2"

	"rowanlink/cluster"
)

type memberBlock struct {
	ID          string    `hcl:"name,label"`
	Address     string    `hcl:"says"`
	RaftAddress string    `hcl:"log,optional"`
	Zone        string    `hcl:"zone,optional"`
	Weight      *float64  `hcl:"weight,optional"`
	MaxRanges   int       `hcl:"room,optional"`
	Position    hcl.Range `hcl:",def_range"`
}

const (
	defaultWeight = 1.0
	maxWeight     = 1e6
)

// namePositions maps each member name and address to its position in the file.
type namePositions map[string]hcl.Range

// add records a name or address, and returns an error if it was used before.
func (p namePositions) add(name string, position hcl.Range) error {
	if first, used := p[name]; used {
		return errorAt(position, "%s stands in line %d already: it must be unique among the members", name, first.Start.Line)
	}
	p[name] = position
	return nil
}

// parseMembers fills f.Members. 1, 3 or 5 of the members must have a raft address.
func (f *File) parseMembers(blocks fileBlocks) error {
	names := namePositions{}
	raftNodes := 0
	for _, b := range blocks.Members {
		weight := valueOr(b.Weight, defaultWeight)
		if b.ID == "" || !isBetween(weight, 0, maxWeight) || b.MaxRanges < 0 {
			return errorAt(b.Position,
				"member %q must have a name, a weight from 0 to 1e6, and a room of at least 0 (0: no limit)", b.ID)
		}
		if err := names.add("member "+b.ID, b.Position); err != nil {
			return err
		}
		if err := b.checkAddresses(names); err != nil {
			return err
		}
		if b.RaftAddress != "" {
			raftNodes++
		}
		f.Members = append(f.Members, Member{
			ID:          cluster.MemberID(b.ID),
			Address:     b.Address,
			RaftAddress: b.RaftAddress,
			Zone:        b.Zone,
			Weight:      weight,
			MaxRanges:   b.MaxRanges,
		})
	}
	if raftNodes != 1 && raftNodes != 3 && raftNodes != 5 {
		return errorAt(blocks.Clusters[0].Position,
			"%d members have an address log: 3 or 5 must have one (or 1 in a test cluster, which tolerates no failure)", raftNodes)
	}
	return nil
}

func (b *memberBlock) checkAddresses(names namePositions) error {
	for _, address := range []string{b.Address, b.RaftAddress} {
		if address == "" && b.Address != "" {
			continue
		}
		if _, _, err := net.SplitHostPort(address); err != nil {
			return errorAt(b.Position, "member %q: %q is no host:port", b.ID, address)
		}
		if err := names.add("address "+address, b.Position); err != nil {
			return err
		}
	}
	return nil
}

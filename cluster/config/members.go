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

// namePositions records where each name and address was first used.
type namePositions map[string]hcl.Range

// add records a name, and returns an error if another member has it.
func (p namePositions) add(name string, position hcl.Range) error {
	if first, used := p[name]; used {
		return errorAt(position, "%s stands in line %d already: it has to be one member's", name, first.Start.Line)
	}
	p[name] = position
	return nil
}

func (f *File) parseMembers(blocks fileBlocks) error {
	names := namePositions{}
	raftNodes := 0
	for _, b := range blocks.Members {
		weight := valueOr(b.Weight, defaultWeight)
		if b.ID == "" || !isBetween(weight, 0, maxWeight) || b.MaxRanges < 0 {
			return errorAt(b.Position,
				"member %q needs a name, a weight from 0 to 1e6, and a room of at least 0 (0: no limit)", b.ID)
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
			"%d members have an address log: three or five must have one (a single one: for trials)", raftNodes)
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

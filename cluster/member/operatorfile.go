package member

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/config"
	"rowanlink/cluster/rebalance/planfile"
)

// readOperatorFile reads the operator file and checks that it names this member and that its plan is valid.
func (m *Member) readOperatorFile() (text []byte, file config.File, err error) {
	if m.configPath == "" {
		return nil, file, errors.New("ROWAN_FLEET names no operator file")
	}
	if text, err = os.ReadFile(m.configPath); err != nil {
		return nil, file, fmt.Errorf("operator file: %w", err)
	}
	if file, err = config.Parse(text, m.configPath); err != nil {
		return nil, file, err
	}
	if _, err = planfile.Parse(text, m.configPath); err != nil {
		return nil, file, err
	}
	if _, found := file.Member(m.self); !found {
		return nil, file, fmt.Errorf("%s: no member is called %q, the name in LB_CONFIG", m.configPath, m.self)
	}
	return text, file, nil
}

// members returns all members of the current operator file, in no particular order.
func (m *Member) members() []cluster.MemberID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(memberAddresses(m.file)))
}

// memberAddresses returns the addresses at which the members serve each other.
func memberAddresses(f config.File) map[cluster.MemberID]string {
	addresses := map[cluster.MemberID]string{}
	for _, member := range f.Members {
		addresses[member.ID] = member.Address
	}
	return addresses
}

// raftAddresses returns the addresses at which the raft nodes serve each other.
func raftAddresses(f config.File) map[cluster.MemberID]string {
	addresses := map[cluster.MemberID]string{}
	for _, member := range f.Members {
		if member.RaftAddress != "" {
			addresses[member.ID] = member.RaftAddress
		}
	}
	return addresses
}

// raftNodes returns the members that have a raft node, in the order of the file.
func raftNodes(f config.File) (nodes []cluster.MemberID) {
	for _, member := range f.Members {
		if member.RaftAddress != "" {
			nodes = append(nodes, member.ID)
		}
	}
	return nodes
}

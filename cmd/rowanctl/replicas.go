package main

import (
	"strconv"

	"rowanlink/serving/introspect"
	"rowanlink/serving/state"
)

// Words for what a replica does in the register.
const (
	voterPart   = "voter"
	learnerPart = "learner"
)

// replicasCommand lists the replicas of the register: the voters, and the core members that are learners.
type replicasCommand struct{}

// replicaLine is one replica's line.
type replicaLine struct {
	ID      string `json:"id,omitempty"` // of a voter
	Part    string `json:"part"`
	Address string `json:"address"` // for calls between the system's processes
	Member  string `json:"member,omitempty"`
	State   string `json:"state"` // of the member
	Epoch   uint64 `json:"epoch"` // of the set of voters
}

// Run implements the command.
func (c *replicasCommand) Run(s *session) error {
	report, err := s.report(introspect.Request{IncludeTables: true})
	if err != nil {
		return err
	}
	lines := make([]replicaLine, 0, len(report.Voters.Replicas))
	var rows [][]string
	for _, replica := range report.Voters.Replicas {
		line := replicaLine{ID: replica.ID, Part: voterPart, Address: replica.Address, State: unknownState, Epoch: report.Voters.Epoch}
		if known, found := memberAt(report, replica.Address); found {
			line.Member, line.State = known.Member.Name, stateOf(known)
		}
		lines = append(lines, line)
	}
	for _, known := range report.Members {
		if partOf(report, known.Member) == learnerPart {
			lines = append(lines, replicaLine{Part: learnerPart, Address: known.Member.Address, Member: known.Member.Name,
				State: stateOf(known), Epoch: report.Voters.Epoch})
		}
	}
	for _, line := range lines {
		rows = append(rows, []string{orUnknown(line.ID), line.Part, line.Address, orUnknown(line.Member), line.State,
			strconv.FormatUint(line.Epoch, 10)})
	}
	return s.print(lines, []string{"ID", "PART", "ADDRESS", "MEMBER", "STATE", "EPOCH"}, rows)
}

// partOf names what a member does in the register; empty for one that has no replica, and while no voters are known.
func partOf(report *introspect.Report, member state.Member) string {
	if member.Role != state.RoleCore || len(report.Voters.Replicas) == 0 {
		return ""
	}
	for _, voter := range report.Voters.Replicas {
		if voter.Address == member.Address {
			return voterPart
		}
	}
	return learnerPart
}

// memberAt finds the member that takes calls at an address.
func memberAt(report *introspect.Report, address string) (introspect.Member, bool) {
	for _, known := range report.Members {
		if known.Member.Address == address {
			return known, true
		}
	}
	return introspect.Member{}, false
}

package main

import (
	"context"
	"strconv"

	"rowanlink/serving/introspect"
	"rowanlink/serving/state"
)

// The kinds of replicas of the register.
const (
	replicaVoter   = "voter"
	replicaLearner = "learner"
)

// replicasCommand lists the replicas of the register: the voters, then the core members that are learners.
type replicasCommand struct{}

// replicaRow describes a replica.
type replicaRow struct {
	ID      string `json:"id,omitempty"` // of a voter
	Kind    string `json:"part"`         // voter or learner
	Address string `json:"address"`      // for calls between the system's processes
	Member  string `json:"member,omitempty"`
	State   string `json:"state"` // of the member
	Epoch   uint64 `json:"epoch"` // of the set of voters
}

func (r replicaRow) cells() []string {
	epoch := strconv.FormatUint(r.Epoch, 10)
	return []string{orNoValue(r.ID), r.Kind, r.Address, orNoValue(r.Member), r.State, epoch}
}

// Run implements the command.
func (c *replicasCommand) Run(ctx context.Context, s *session) error {
	report, err := s.firstReport(ctx, introspect.Request{IncludeTables: true})
	if err != nil {
		return err
	}
	rows := append(voterRows(report), learnerRows(report)...)
	return printTable(s, []string{"ID", "KIND", "ADDRESS", "MEMBER", "STATE", "EPOCH"}, rows)
}

func voterRows(report *introspect.Report) []replicaRow {
	rows := make([]replicaRow, 0, len(report.Voters.Replicas))
	for _, voter := range report.Voters.Replicas {
		row := replicaRow{
			ID:      voter.ID,
			Kind:    replicaVoter,
			Address: voter.Address,
			State:   stateUnknown,
			Epoch:   report.Voters.Epoch,
		}
		if member, found := memberAt(report, voter.Address); found {
			row.Member = member.Member.Name
			row.State = memberStateName(member)
		}
		rows = append(rows, row)
	}
	return rows
}

func learnerRows(report *introspect.Report) (rows []replicaRow) {
	for _, member := range report.Members {
		if replicaKind(report, member.Member) != replicaLearner {
			continue
		}
		rows = append(rows, replicaRow{
			Kind:    replicaLearner,
			Address: member.Member.Address,
			Member:  member.Member.Name,
			State:   memberStateName(member),
			Epoch:   report.Voters.Epoch,
		})
	}
	return rows
}

// replicaKind returns the kind of a member's replica. It is empty for a member without a replica, and while the voters
// are unknown.
func replicaKind(report *introspect.Report, member state.Member) string {
	if member.Role != state.RoleCore || len(report.Voters.Replicas) == 0 {
		return ""
	}
	for _, voter := range report.Voters.Replicas {
		if voter.Address == member.Address {
			return replicaVoter
		}
	}
	return replicaLearner
}

// memberAt returns the member that has an internal address.
func memberAt(report *introspect.Report, address string) (introspect.Member, bool) {
	for _, member := range report.Members {
		if member.Member.Address == address {
			return member, true
		}
	}
	return introspect.Member{}, false
}

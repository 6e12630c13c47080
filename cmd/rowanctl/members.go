package main

import (
	"context"

	"rowanlink/serving/introspect"
)

// membersCommand lists the members.
type membersCommand struct{}

// memberRow describes a member.
type memberRow struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Replica string `json:"part,omitempty"` // kind of its replica of the register: voter or learner
	State   string `json:"state"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Address string `json:"address"`             // for calls between the system's processes
	Serves  string `json:"serves_at,omitempty"` // agents: the proxy's address for clients; cores: the control address
}

func (r memberRow) cells() []string {
	return []string{r.Name, r.Role, orNoValue(r.Replica), r.State, r.Zone, r.Region, r.Address, orNoValue(r.Serves)}
}

// Run implements the command.
func (c *membersCommand) Run(ctx context.Context, s *session) error {
	report, err := s.firstReport(ctx, introspect.Request{IncludeTables: true})
	if err != nil {
		return err
	}
	rows := make([]memberRow, 0, len(report.Members))
	for _, reported := range report.Members {
		member := reported.Member
		rows = append(rows, memberRow{
			Name:    member.Name,
			Role:    roleNames[member.Role],
			Replica: replicaKind(report, member),
			State:   memberStateName(reported),
			Zone:    member.Zone,
			Region:  member.Region,
			Address: member.Address,
			Serves:  member.ProxyAddress + member.ControlAddress, // a member has one of them
		})
	}
	return printTable(s, []string{"NAME", "ROLE", "REPLICA", "STATE", "ZONE", "REGION", "ADDRESS", "SERVES AT"}, rows)
}

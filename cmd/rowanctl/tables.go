package main

import (
	"fmt"
	"strconv"
	"strings"

	"rowanlink/serving/introspect"
)

// unknown stands in a column that can't be filled.
const unknown = "-"

// membersCommand lists the members.
type membersCommand struct{}

// memberLine is one member's line.
type memberLine struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Part    string `json:"part,omitempty"` // in the register: voter or learner
	State   string `json:"state"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Address string `json:"address"`             // for calls between the system's processes
	Serves  string `json:"serves_at,omitempty"` // agents: the proxy's address for clients; cores: the control address
}

// Run implements the command.
func (c *membersCommand) Run(s *session) error {
	report, err := s.report(introspect.Request{IncludeTables: true})
	if err != nil {
		return err
	}
	lines := make([]memberLine, 0, len(report.Members))
	var rows [][]string
	for _, known := range report.Members {
		member := known.Member
		line := memberLine{Name: member.Name, Role: roleNames[member.Role], Part: partOf(report, member), State: stateOf(known),
			Zone: member.Zone, Region: member.Region, Address: member.Address, Serves: member.ProxyAddress + member.ControlAddress}
		lines = append(lines, line)
		rows = append(rows, []string{line.Name, line.Role, orUnknown(line.Part), line.State, line.Zone, line.Region, line.Address,
			orUnknown(line.Serves)})
	}
	return s.print(lines, []string{"NAME", "ROLE", "PART", "STATE", "ZONE", "REGION", "ADDRESS", "SERVES AT"}, rows)
}

// endpointsCommand lists the endpoints.
type endpointsCommand struct {
	Service string `help:"Only those of this service."`
}

// endpointLine is one endpoint's line.
type endpointLine struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	State      string `json:"state"`
	Zone       string `json:"zone"`
	Address    string `json:"address"`
	Slots      int    `json:"slots"`
	Edition    string `json:"edition,omitempty"`
	ColdMillis int64  `json:"cold_left_ms"`
}

// Run implements the command.
func (c *endpointsCommand) Run(s *session) error {
	report, err := s.report(introspect.Request{IncludeTables: true})
	if err != nil {
		return err
	}
	lines := make([]endpointLine, 0, len(report.Endpoints))
	var rows [][]string
	for _, endpoint := range report.Endpoints {
		if c.Service != "" && endpoint.Service != c.Service {
			continue
		}
		line := endpointLine{ID: endpoint.ID, Service: endpoint.Service, State: lifeOf(endpoint), Zone: endpoint.Zone,
			Address: endpoint.Address, Slots: endpoint.Slots, Edition: endpoint.SoftwareVersion,
			ColdMillis: endpoint.WarmupLeftMillis}
		lines = append(lines, line)
		rows = append(rows, []string{line.ID, line.Service, line.State, line.Zone, line.Address,
			strconv.Itoa(line.Slots), orUnknown(line.Edition), fmt.Sprintf("%d ms", line.ColdMillis)})
	}
	return s.print(lines, []string{"ID", "SERVICE", "STATE", "ZONE", "ADDRESS", "SLOTS", "EDITION", "COLD FOR"}, rows)
}

// dutiesCommand lists the singleton duties.
type dutiesCommand struct{}

// dutyLine is one duty's line.
type dutyLine struct {
	Duty   string `json:"duty"`
	Holder string `json:"holder,omitempty"`
	Epoch  uint64 `json:"epoch"`
}

// Run implements the command.
func (c *dutiesCommand) Run(s *session) error {
	report, err := s.report(introspect.Request{IncludeTables: true})
	if err != nil {
		return err
	}
	lines := make([]dutyLine, 0, len(report.SingletonClaims))
	var rows [][]string
	for _, claim := range report.SingletonClaims {
		lines = append(lines, dutyLine{Duty: claim.Role, Holder: claim.Holder, Epoch: claim.Epoch})
		rows = append(rows, []string{claim.Role, orUnknown(claim.Holder), strconv.FormatUint(claim.Epoch, 10)})
	}
	return s.print(lines, []string{"DUTY", "HOLDER", "EPOCH"}, rows)
}

// versionsCommand lists what each member has in force.
type versionsCommand struct{}

// versionLine is one member's line.
type versionLine struct {
	Member    string   `json:"member"`
	Revision  uint64   `json:"revision"`
	Version   uint64   `json:"version"`
	Digest    string   `json:"digest"`
	Evacuated []string `json:"evacuated"`
	Error     string   `json:"error,omitempty"`
}

// Run implements the command.
func (c *versionsCommand) Run(s *session) error {
	reports, err := s.reports()
	if err != nil {
		return err
	}
	lines := make([]versionLine, 0, len(reports))
	var rows [][]string
	for _, each := range reports {
		line := versionLine{Member: each.member.Member.Name}
		row := []string{line.Member, unknown, unknown, unknown, unknown}
		if each.err != nil {
			line.Error = each.err.Error()
			row[4] = "no answer: " + line.Error
		} else {
			line.Revision, line.Version = each.report.Revision, each.report.Version
			line.Digest, line.Evacuated = each.report.Digest.String(), each.report.Evacuated
			row = []string{line.Member, strconv.FormatUint(line.Revision, 10), strconv.FormatUint(line.Version, 10),
				line.Digest, orUnknown(strings.Join(line.Evacuated, ","))}
		}
		lines, rows = append(lines, line), append(rows, row)
	}
	return s.print(lines, []string{"MEMBER", "REVISION", "VERSION", "DIGEST", "EVACUATED"}, rows)
}

func orUnknown(text string) string {
	if text == "" {
		return unknown
	}
	return text
}

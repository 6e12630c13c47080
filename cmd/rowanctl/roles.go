package main

import (
	"context"
	"strconv"

	"rowanlink/serving/introspect"
)

// rolesCommand lists the singleton roles.
type rolesCommand struct{}

// singletonRow describes a singleton role.
type singletonRow struct {
	Role   string `json:"duty"`
	Holder string `json:"holder,omitempty"`
	Epoch  uint64 `json:"epoch"`
}

func (r singletonRow) cells() []string {
	return []string{r.Role, orNoValue(r.Holder), strconv.FormatUint(r.Epoch, 10)}
}

// Run implements the command.
func (c *rolesCommand) Run(ctx context.Context, s *session) error {
	report, err := s.firstReport(ctx, introspect.Request{IncludeTables: true})
	if err != nil {
		return err
	}
	rows := make([]singletonRow, 0, len(report.SingletonClaims))
	for _, claim := range report.SingletonClaims {
		rows = append(rows, singletonRow{Role: claim.Role, Holder: claim.Holder, Epoch: claim.Epoch})
	}
	return printTable(s, []string{"ROLE", "HOLDER", "EPOCH"}, rows)
}

package main

import (
	"context"
	"strconv"
	"strings"
)

// versionsCommand lists the record and configuration that each member has.
type versionsCommand struct{}

// versionRow describes the record and configuration of a member.
type versionRow struct {
	Member    string   `json:"member"`
	Revision  uint64   `json:"revision"`
	Version   uint64   `json:"version"`
	Digest    string   `json:"digest"`
	Evacuated []string `json:"evacuated"`
	Error     string   `json:"error,omitempty"` // the member couldn't be called
}

func (r versionRow) cells() []string {
	if r.Error != "" {
		return []string{r.Member, noValue, noValue, noValue, "no answer: " + r.Error}
	}
	return []string{
		r.Member,
		strconv.FormatUint(r.Revision, 10),
		strconv.FormatUint(r.Version, 10),
		r.Digest,
		orNoValue(strings.Join(r.Evacuated, ",")),
	}
}

// Run implements the command.
func (c *versionsCommand) Run(ctx context.Context, s *session) error {
	reports, err := s.allReports(ctx)
	if err != nil {
		return err
	}
	rows := make([]versionRow, 0, len(reports))
	for _, report := range reports {
		rows = append(rows, newVersionRow(report))
	}
	return printTable(s, []string{"MEMBER", "REVISION", "VERSION", "DIGEST", "EVACUATED"}, rows)
}

func newVersionRow(of memberReport) versionRow {
	row := versionRow{Member: of.member.Member.Name}
	if of.err != nil {
		row.Error = of.err.Error()
		return row
	}
	row.Revision = of.report.Revision
	row.Version = of.report.Version
	row.Digest = of.report.Digest.String()
	row.Evacuated = of.report.Evacuated
	return row
}

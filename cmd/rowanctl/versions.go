package main

import (
	"context"
	"strconv"
	"strings"
)

// versionsCommand lists the versions of the record and of the configuration that each member has.
type versionsCommand struct{}

// versionRow describes the record and the configuration of a member.
type versionRow struct {
	Member    string   `json:"member"`
	Revision  uint64   `json:"revision"`
	Version   uint64   `json:"version"`
	Digest    string   `json:"digest"`
	Evacuated []string `json:"evacuated"`
	Error     string   `json:"error,omitempty"` // why the member gave no report
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

func newVersionRow(fetched memberReport) versionRow {
	row := versionRow{Member: fetched.member.Member.Name}
	if fetched.err != nil {
		row.Error = fetched.err.Error()
		return row
	}
	row.Revision = fetched.report.Revision
	row.Version = fetched.report.Version
	row.Digest = fetched.report.Digest.String()
	row.Evacuated = fetched.report.Evacuated
	return row
}

package main

import (
	"context"
	"fmt"
	"strconv"

	"rowanlink/serving/introspect"
)

// endpointsCommand lists the endpoints.
type endpointsCommand struct {
	Service string `help:"Only those of this service."`
}

// endpointRow describes an endpoint.
type endpointRow struct {
	ID               string `json:"id"`
	Service          string `json:"service"`
	State            string `json:"state"` // in the words of jsonStateWords
	tableState       string // the same state in the words of tableStateWords
	Zone             string `json:"zone"`
	Address          string `json:"address"`
	Slots            int    `json:"slots"`
	SoftwareVersion  string `json:"edition,omitempty"`
	WarmUpLeftMillis int64  `json:"cold_left_ms"`
}

func (r endpointRow) cells() []string {
	slots := strconv.Itoa(r.Slots)
	warmUpLeft := fmt.Sprintf("%d ms", r.WarmUpLeftMillis)
	return []string{r.ID, r.Service, r.tableState, r.Zone, r.Address, slots, orNoValue(r.SoftwareVersion), warmUpLeft}
}

// Run implements the command.
func (c *endpointsCommand) Run(ctx context.Context, s *session) error {
	report, err := s.firstReport(ctx, introspect.Request{IncludeTables: true})
	if err != nil {
		return err
	}
	rows := make([]endpointRow, 0, len(report.Endpoints))
	for _, endpoint := range report.Endpoints {
		if c.Service != "" && endpoint.Service != c.Service {
			continue
		}
		rows = append(rows, endpointRow{
			ID:               endpoint.ID,
			Service:          endpoint.Service,
			State:            endpointStateName(endpoint, jsonStateWords),
			tableState:       endpointStateName(endpoint, tableStateWords),
			Zone:             endpoint.Zone,
			Address:          endpoint.Address,
			Slots:            endpoint.Slots,
			SoftwareVersion:  endpoint.SoftwareVersion,
			WarmUpLeftMillis: endpoint.WarmupLeftMillis,
		})
	}
	return printTable(s, []string{"ID", "SERVICE", "STATE", "ZONE", "ADDRESS", "SLOTS", "VERSION", "WARMS UP FOR"}, rows)
}

package main

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rowanlink/serving/introspect"
	"rowanlink/serving/rpc"
)

const (
	// maxReportCalls bounds the concurrent calls to members.
	maxReportCalls = 32
	// reportTimeout bounds one such call.
	reportTimeout = 5 * time.Second
)

// firstReport returns the report of the first member that answers, called in the order of the addresses.
func (s *session) firstReport(ctx context.Context, request introspect.Request) (*introspect.Report, error) {
	if len(s.targets.members) == 0 {
		return nil, errNoAddress
	}
	client := rpc.NewClient()
	defer client.Close()
	var failures error
	for _, address := range s.targets.members {
		report, err := fetchReport(ctx, client, address, request)
		if err == nil {
			return report, nil
		}
		failures = errors.CombineErrors(failures, err)
	}
	return nil, failures
}

// fetchReport fetches the report of the member at an address within reportTimeout.
func fetchReport(ctx context.Context, client *rpc.Client, address string, request introspect.Request) (
	*introspect.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return introspect.Fetch(ctx, client, address, request)
}

// memberReport is the report of one member, or the error of the call to it.
type memberReport struct {
	member introspect.Member
	report *introspect.Report
	err    error
}

// allReports fetches a report from each member that is listed in the report of the first member that answers.
func (s *session) allReports(ctx context.Context) ([]memberReport, error) {
	first, err := s.firstReport(ctx, introspect.Request{IncludeTables: true})
	if err != nil {
		return nil, err
	}
	client := rpc.NewClient()
	defer client.Close()
	reports := make([]memberReport, len(first.Members))
	slots := make(chan struct{}, maxReportCalls)
	var calls sync.WaitGroup
	for i, member := range first.Members {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			report, err := fetchReport(ctx, client, member.Member.Address, introspect.Request{})
			reports[i] = memberReport{member: member, report: report, err: err}
		})
	}
	calls.Wait()
	return reports, nil
}

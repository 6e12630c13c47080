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
	// reportsAtOnce bounds the calls that are under way to members.
	reportsAtOnce = 32
	// askTimeout bounds one of them.
	askTimeout = 5 * time.Second
)

// report asks the member addresses in turn until one answers.
func (s *session) report(request introspect.Request) (*introspect.Report, error) {
	if len(s.where.inner) == 0 {
		return nil, errNoInner
	}
	client := rpc.NewClient()
	defer client.Close()
	var last error
	for _, address := range s.where.inner {
		report, err := ask(s.ctx, client, address, request)
		if err == nil {
			return report, nil
		}
		last = errors.CombineErrors(last, err)
	}
	return nil, last
}

func ask(ctx context.Context, client *rpc.Client, address string, request introspect.Request) (*introspect.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return introspect.Fetch(ctx, client, address, request)
}

// memberReport is what one member says of itself, or why it couldn't be asked.
type memberReport struct {
	member introspect.Member
	report *introspect.Report
	err    error
}

// reports asks all members that the first one knows.
func (s *session) reports() ([]memberReport, error) {
	first, err := s.report(introspect.Request{IncludeTables: true})
	if err != nil {
		return nil, err
	}
	client := rpc.NewClient()
	defer client.Close()
	reports := make([]memberReport, len(first.Members))
	places := make(chan struct{}, reportsAtOnce)
	var all sync.WaitGroup
	for i, member := range first.Members {
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			report, err := ask(s.ctx, client, member.Member.Address, introspect.Request{})
			reports[i] = memberReport{member: member, report: report, err: err}
		})
	}
	all.Wait()
	return reports, nil
}

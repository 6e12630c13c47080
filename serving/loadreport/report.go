// Package loadreport polls the language-model endpoints of a zone for their loads and gossips those that have changed.
// In each zone one member does this: the holder of the zone's singleton role.
package loadreport

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

const (
	// reportPath is the path of an endpoint's report on itself.
	reportPath = "/report"
	// maxReportBytes limits the body of a report. Longer bodies are truncated, so that parsing them fails in general.
	maxReportBytes = 64 << 10
	// maxValue is the greatest number that is accepted in a report, so that sums of such numbers don't overflow.
	maxValue = 1 << 40
)

// report has the fields of an endpoint's report that are used here. Other fields are ignored.
type report struct {
	Queued     int `json:"queued"`
	Running    int `json:"in_flight"`
	CacheUsed  int `json:"cache_used"`
	CacheTotal int `json:"cache_total"`
}

// fetchReport requests the report of the endpoint at host:port.
func fetchReport(ctx context.Context, client *http.Client, address string) (report, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+reportPath, nil)
	if err != nil {
		return report{}, errors.Wrap(err, "request report")
	}
	response, err := client.Do(request)
	if err != nil {
		return report{}, errors.Wrap(err, "request report")
	}
	defer func() { _ = response.Body.Close() }() // read-only
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return report{}, errors.Wrap(err, "read report")
	}
	if response.StatusCode != http.StatusOK {
		return report{}, errors.Newf("report of %s: %s", address, response.Status)
	}
	return parseReport(body)
}

// parseReport parses the body of a report. A report with a number out of range is invalid.
func parseReport(body []byte) (report, error) {
	var parsed report
	if err := json.Unmarshal(body, &parsed); err != nil {
		return report{}, errors.Wrap(err, "parse report")
	}
	for _, number := range []int{parsed.Queued, parsed.Running, parsed.CacheUsed, parsed.CacheTotal} {
		if number < 0 || number > maxValue {
			return report{}, errors.Newf("parse report: %d is out of range", number)
		}
	}
	return parsed, nil
}

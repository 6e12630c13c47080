// Package loadreport asks the language-model endpoints of a zone for their reports on themselves and spreads what they
// say. One member of each zone does it, as a singleton duty.
package loadreport

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

const (
	// reportPath is where an endpoint reports on itself.
	reportPath = "/report"
	// maxReportBytes bounds a report, in bytes.
	maxReportBytes = 64 << 10
)

// report is what an endpoint says of itself. Other fields are ignored.
type report struct {
	Queued     int `json:"queued"`
	Running    int `json:"in_flight"`
	CacheUsed  int `json:"cache_used"`
	CacheTotal int `json:"cache_total"`
}

// fetchReport fetches the report of the endpoint at host:port. The context bounds the call.
func fetchReport(ctx context.Context, client *http.Client, address string) (answer report, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+reportPath, nil)
	if err != nil {
		return answer, errors.Wrap(err, "ask for a report")
	}
	response, err := client.Do(request)
	if err != nil {
		return answer, errors.Wrap(err, "ask for a report")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return answer, errors.Wrap(err, "read report")
	}
	if response.StatusCode != http.StatusOK {
		return answer, errors.Newf("report of %s: %s", address, response.Status)
	}
	return parseReport(body)
}

// maxValue is the largest number that a report may hold: sums of such numbers don't overflow.
const maxValue = 1 << 40

// parseReport reads the body of a report. One with a number that can't be is no report.
func parseReport(body []byte) (said report, err error) {
	if err := json.Unmarshal(body, &said); err != nil {
		return report{}, errors.Wrap(err, "read report")
	}
	for _, number := range []int{said.Queued, said.Running, said.CacheUsed, said.CacheTotal} {
		if number < 0 || number > maxValue {
			return report{}, errors.Newf("read report: %d is out of range", number)
		}
	}
	return said, nil
}

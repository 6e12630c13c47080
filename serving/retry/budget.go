package retry

import "time"

// Shares of the common bounds that all proxies together aim at; the rest is for windows that lie across two of ours.
const (
	ratioShare = 0.8
	slackShare = 0.8
	// uncountedProxies is how many proxies more than are known may run: replacements that nobody has heard of yet.
	uncountedProxies = 2
	// bucketCount is how many parts a window is counted in. The window in use is one slice longer than the bound's for
	// repeats, and one shorter for requests, so that no part is counted on the wrong side.
	bucketCount = 20
)

// Limits are the operator's bounds on the sends beyond the first of each request, over all proxies together.
type Limits struct {
	Ratio  float64       // of the requests in the window
	Slack  float64       // sends more than that
	Window time.Duration // every span of that length counts
}

// budget counts one service's requests and repeats in a sliding window.
type budget struct {
	bucketWidth  time.Duration
	newestBucket int64 // number of the newest slice
	requests     [bucketCount + 1]int
	retries      [bucketCount + 1]int
}

// advance drops the slices that have left the window.
func (b *budget) advance(since time.Duration) {
	newest := int64(since / b.bucketWidth)
	if newest-b.newestBucket > bucketCount {
		b.requests, b.retries, b.newestBucket = [bucketCount + 1]int{}, [bucketCount + 1]int{}, newest
		return
	}
	for b.newestBucket < newest {
		b.newestBucket++
		at := b.newestBucket % (bucketCount + 1)
		b.requests[at], b.retries[at] = 0, 0
	}
}

func (b *budget) countRequest() { b.requests[b.newestBucket%(bucketCount+1)]++ }
func (b *budget) countRetry()   { b.retries[b.newestBucket%(bucketCount+1)]++ }

// totals returns the repeats of the last slices+1 slices and the requests of all of them but the oldest two.
func (b *budget) totals() (requests, repeats int) {
	for age := range int64(bucketCount + 1) {
		at := ((b.newestBucket-age)%(bucketCount+1) + bucketCount + 1) % (bucketCount + 1)
		repeats += b.retries[at]
		if age < bucketCount-1 {
			requests += b.requests[at]
		}
	}
	return requests, repeats
}

// allowsRetry tells whether one more repeat keeps within this proxy's share. The part of the slack grows from nothing
// over the process's first window, as an earlier life of the process may have used its own.
func (b *budget) allowsRetry(limits Limits, age time.Duration, proxies int) bool {
	requests, repeats := b.totals()
	grown := min(float64(age)/float64(limits.Window), 1)
	slack := limits.Slack * slackShare * grown / float64(max(proxies, 1)+uncountedProxies)
	return float64(repeats+1) <= limits.Ratio*ratioShare*float64(requests)+slack
}

package retry

import "time"

const (
	// ratioShare and slackShare are the parts of the operator's limits that all proxies together use. The rest is for
	// spans that lie across two of a proxy's windows.
	ratioShare = 0.8
	slackShare = 0.8
	// uncountedProxies is the number of proxies that may run beyond those that are known: replacements that are not
	// known yet.
	uncountedProxies = 2
	// bucketCount is the number of buckets that a window is divided into. Retries are counted over one bucket more than
	// the operator's window and requests over one less, so that no bucket is counted on the wrong side.
	bucketCount = 20
)

// Limits are the operator's limits on retries, over all proxies together.
type Limits struct {
	Ratio  float64       // of the requests in the window
	Slack  float64       // retries beyond that
	Window time.Duration // the limits hold in every span of that length
}

// budget counts a service's requests and retries in a sliding window.
type budget struct {
	bucketWidth  time.Duration
	newestBucket int64 // number of the newest bucket since the process started
	requests     [bucketCount + 1]int
	retries      [bucketCount + 1]int
}

// advance drops the buckets that have left the window. age is the time since the process started.
func (b *budget) advance(age time.Duration) {
	newest := int64(age / b.bucketWidth)
	if newest-b.newestBucket > bucketCount {
		b.requests = [bucketCount + 1]int{}
		b.retries = [bucketCount + 1]int{}
		b.newestBucket = newest
		return
	}
	for b.newestBucket < newest {
		b.newestBucket++
		bucket := b.newestBucket % (bucketCount + 1)
		b.requests[bucket] = 0
		b.retries[bucket] = 0
	}
}

func (b *budget) countRequest() { b.requests[b.newestBucket%(bucketCount+1)]++ }
func (b *budget) countRetry()   { b.retries[b.newestBucket%(bucketCount+1)]++ }

// totals returns the retries in all buckets and the requests in all but the oldest two.
func (b *budget) totals() (requests, retries int) {
	for age := range int64(bucketCount + 1) {
		bucket := ((b.newestBucket-age)%(bucketCount+1) + bucketCount + 1) % (bucketCount + 1)
		retries += b.retries[bucket]
		if age < bucketCount-1 {
			requests += b.requests[bucket]
		}
	}
	return requests, retries
}

// allowsRetry reports whether one more retry is within this proxy's share of the limits. Its share of the slack grows
// from zero during the process's first window, since an earlier incarnation of the process may have used it.
func (b *budget) allowsRetry(limits Limits, age time.Duration, proxies int) bool {
	requests, retries := b.totals()
	grown := min(float64(age)/float64(limits.Window), 1)
	slack := limits.Slack * slackShare * grown / float64(max(proxies, 1)+uncountedProxies)
	return float64(retries+1) <= limits.Ratio*ratioShare*float64(requests)+slack
}

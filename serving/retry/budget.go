package retry

import "time"

const (
	// ratioShare and slackShare are the parts of the operator's limits that all proxies together use. The rest is a
	// reserve, since the limits hold in every span of the window's length, also in one that overlaps two of a proxy's
	// windows.
	ratioShare = 0.8
	slackShare = 0.8
	// uncountedProxies is the number of proxies that may run in addition to the known ones, as replacements that are not
	// known yet.
	uncountedProxies = 2
	// bucketCount is the number of buckets that a window is divided into. Buckets at the edges lie only partly in the
	// window. So retries are counted over one bucket more than the operator's window and requests over one less, and the
	// budget is never larger than the limits allow.
	bucketCount = 20
)

// Limits are the operator's limits on retries, over all proxies together.
type Limits struct {
	Ratio  float64       // retries per request in the window
	Slack  float64       // retries in the window in addition to those by Ratio
	Window time.Duration // the limits hold in every span of this length
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

// totals returns the requests in all buckets except the oldest two, and the retries in all buckets; see bucketCount.
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
	slackFraction := min(float64(age)/float64(limits.Window), 1)
	slack := limits.Slack * slackShare * slackFraction / float64(max(proxies, 1)+uncountedProxies)
	return float64(retries+1) <= limits.Ratio*ratioShare*float64(requests)+slack
}

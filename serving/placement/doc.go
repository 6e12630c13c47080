// Package placement selects, in each proxy, the endpoint that serves a request. It performs no I/O and has no clock of
// its own: the proxy passes in the state of the cluster (Picker.Update), requests an endpoint (Picker.Pick) and reports
// the progress and outcome of the call (Picker.ReportProgress, Picker.ReportOutcome), each time with the current
// monotonic time.
//
// An endpoint is eligible if the route, the endpoint's own state and the rate limit of endpoints that are warming up
// allow it, its concurrency window has a free slot and no backoff is in force. Of the eligible endpoints, a request to
// a language model goes to the one with the least estimated time to first token, which favors endpoints that have the
// prompt's prefix blocks cached; any other request goes to the least loaded one. In large regions only a sample is
// compared.
//
// Proxies don't communicate about their choices. They send requests with the same prefix to the same endpoint, the
// prefix's owner, because each ranks the endpoints by rendezvous hashing. A short prefix has one owner in each region.
// A long prefix has one owner in the whole system, until the latency that this proxy's requests have paid to reach it
// equals the time to prefill the prefix once in the proxy's own region; from then on the own region's owner caches the
// prefix too.
//
// Sources: concurrency window and backoff schedule, package backoff; rendezvous hashing, Thaler and Ravishankar,
// "Using name-based mappings to increase hit rates" (1998); bounded loads, Mirrokni, Thorup and Zadimoghaddam,
// "Consistent hashing with bounded loads" (2018); sampling, Mitzenmacher, "The power of two choices in randomized load
// balancing" (2001); the limit on remote prefill (ski rental), Karlin et al., "Competitive snoopy caching" (1988).
package placement

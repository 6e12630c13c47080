// Package backoff holds the design's rules for retries and concurrency: the schedule of retry delays, and the window
// that limits the calls in flight. The webhook dispatcher's policy and the serving system both use it.
//
// Source: the schedule is the one of botocore's retries (exponential backoff with full jitter, capped), with
// separate jitter for early and late retries; the window is additive increase, multiplicative decrease (Chiu and
// Jain, "Analysis of the increase and decrease algorithms for congestion avoidance", 1989).
package backoff

// Package rollout decides on the roll-outs of software versions. It has the transitions of a roll-out's state in the
// replicated record, the schedule of its steps, and the judge, which compares the answers of the new version, the target,
// with the answers that the versions in force, the baseline, gave during the same time. The package does no I/O and has
// no clock: times are arguments.
//
// A roll-out begins in the canary step. The judge feeds the proxies' reports of answers into sequential tests (see cusum)
// and rolls the target back as soon as a test finds that its answers are worse than the baseline's. Otherwise the
// schedule advances the roll-out through the load, ramp and full steps, and it is promoted once the baseline has no calls
// in flight any more or the time for that is over.
//
// Load probes are the endpoints of the target that the load step sends as many concurrent requests as an endpoint has to
// handle when the service is busy. Answers to these requests are counted apart from the others.
//
//	from                   event                             to
//	none, promoted,        Begin                             in progress, canary
//	rolled back
//	in progress            Begin of the same target          unchanged
//	in progress            Begin of another target           in progress, canary, with the former target retired
//	rolled back            Begin of the same target, early   unchanged: taken as a repeat of the first order
//	canary                 Advance                           load
//	load                   Advance                           ramp
//	ramp                   Advance                           full
//	full                   Promote                           promoted, with the versions that it replaces retired
//	in progress            RollBack                          rolled back, with the target retired
//
// Every transition except Begin names the revision of the roll-out that it is based on and is dropped if the roll-out has
// changed since. So any core member may propose a transition, even several members at once.
package rollout

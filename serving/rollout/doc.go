// Package rollout decides on the roll-outs of software versions: the transitions of their state in the replicated
// record, the schedule of their steps, and the judgement of a version by its answers, compared with those of the versions
// in force in the same time. It does no I/O and has no clock: times are arguments.
//
// A roll-out begins in the canary step. The proxies' reports of answers go through a sequential test (see evidence); it
// rolls back as soon as the target's answers are worse. Otherwise the schedule advances it to the ramp and the
// full step, and promotes it when the versions in force have no calls in flight any more.
//
//	from                   event                             to
//	none, promoted,        Begin                             in progress, canary
//	rolled back
//	in progress            Begin of the same target          unchanged
//	in progress            Begin of another target           in progress, canary, with the former target retired
//	rolled back            Begin of the same target, early   unchanged: the order was sent again
//	canary                 Advance                           load
//	load                   Advance                           ramp
//	ramp                   Advance                           full
//	full                   Promote                           promoted, with the versions that it replaces retired
//	in progress            RollBack                          rolled back, with the target retired
//
// Every transition but Begin names the revision of the roll-out that it is based on, so that any core member may propose
// it, and several may.
package rollout

// Package leasecheck records what lease holders do in tests and checks the recorded histories: a server records
// the begin and the end of each operation under a lease, by its own clock, and reports operations of two holders
// that overlap and epochs that decrease.
//
//	POST /begin?task=T&epoch=N&member=M   204: recorded; 409: fenced, the operation must not begin
//	POST /end?task=T&epoch=N&member=M     204: recorded, the operation took effect; 409: fenced, it did not
//
// A holder checks its lease before /begin and again before the last byte of /end. An operation that never ends
// takes no effect: it counts as an instant at which the lease was held. With &fence=1, or after SetFenceAll, a
// request with a lower epoch than the highest recorded for the resource is rejected, as by a process of our own
// that checks fencing tokens. Without, the server acts as a third party that does not.
//
// All requests are recorded in a file, one JSON object a line, so that fences survive a restart of the server.
// The same file is the history that porcupine checks (Athalye, Porcupine: A fast linearizability checker, 2017).
package leasecheck

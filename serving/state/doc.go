// Package state has the types that the system's programs share, as they are stored and sent: the replicated record, the
// endpoints, their load, and the members of the control plane.
//
// All of them are encoded as CBOR with integer keys. A key must not change its meaning: processes of different releases
// exchange these types, and files outlive the release that wrote them.
package state

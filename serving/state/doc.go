// Package state defines the types that the system's programs share and that they store or send to each other: the
// replicated record, the endpoints and their load, and the members of the control plane.
//
// All types are encoded as CBOR with integer keys. The meaning of a key must not change, because processes of different
// releases exchange these types and files outlive the release that wrote them.
package state

package state

// Role is the function of a member process in the control plane.
type Role uint8

// The roles.
const (
	RoleAgent Role = iota + 1 // runs beside a proxy and represents it in the control plane
	RoleCore                  // holds a replica of the record and serves the operators' API
)

// MemberState is the state that a member reports about itself.
type MemberState uint8

// The states of a member.
const (
	MemberStarting MemberState = iota // not ready to serve yet
	MemberReady                       // serves
	MemberLeaving                     // is shutting down and finishing its work
	MemberLeft                        // has shut down
)

// Member is one process of the control plane, as it describes itself.
type Member struct {
	Name           string      `cbor:"1,keyasint"` // of the machine
	Incarnation    uint64      `cbor:"2,keyasint"` // increases with each start of the process, even after a disk loss
	Sequence       uint64      `cbor:"3,keyasint"` // increases with each change within an incarnation
	Role           Role        `cbor:"4,keyasint"`
	Zone           string      `cbor:"5,keyasint"`
	Region         string      `cbor:"6,keyasint"`
	Address        string      `cbor:"7,keyasint"`           // host:port for calls between the system's processes
	ProxyAddress   string      `cbor:"8,keyasint,omitempty"` // host:port of an agent's proxy for clients
	ControlAddress string      `cbor:"9,keyasint,omitempty"` // host:port of a core for operators and endpoints
	State          MemberState `cbor:"10,keyasint"`
}

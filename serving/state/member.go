package state

// Role is what a member process does.
type Role uint8

// The roles.
const (
	RoleAgent Role = iota + 1 // stands beside a proxy and speaks for it
	RoleCore                  // holds a replica of the record and serves the operator's API
)

// MemberState is what a member says of itself.
type MemberState uint8

// The states of a member.
const (
	MemberStarting MemberState = iota // not ready to serve yet
	MemberReady                       // serves
	MemberLeaving                     // has been told to end, finishes what it has
	MemberLeft                        // has ended by plan
)

// Member is one process of the control plane as it describes itself.
type Member struct {
	Name           string      `cbor:"1,keyasint"` // the machine's name
	Incarnation    uint64      `cbor:"2,keyasint"` // rises with each start of the process, also over a lost disk
	Sequence       uint64      `cbor:"3,keyasint"` // rises with each change within an incarnation
	Role           Role        `cbor:"4,keyasint"`
	Zone           string      `cbor:"5,keyasint"`
	Region         string      `cbor:"6,keyasint"`
	Address        string      `cbor:"7,keyasint"`           // host:port for calls between the system's processes
	ProxyAddress   string      `cbor:"8,keyasint,omitempty"` // agents: where the proxy takes clients' requests
	ControlAddress string      `cbor:"9,keyasint,omitempty"` // core: where operators and endpoints call
	State          MemberState `cbor:"10,keyasint"`
}

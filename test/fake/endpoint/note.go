package endpoint

import (
	"fmt"
	"time"
)

// Fate is what became of a request at an endpoint.
type Fate uint8

// The fates.
const (
	Refused     Fate = iota // full or out of time in the queue; has not run
	Misdirected             // meant for another endpoint; has not run
	Began                   // runs now
	Done                    // has run and was answered whole
	Abandoned               // its caller left, or its time was over, while it ran
)

var fateNames = map[Fate]string{Refused: "refused", Misdirected: "misdirected", Began: "began", Done: "done",
	Abandoned: "abandoned"}

// String is the fate's name.
func (f Fate) String() string { return fateNames[f] }

// Note tells of one request.
type Note struct {
	At       time.Time
	Endpoint string // incarnation
	Attempt  string // the client's id of the try
	Path     string
	Fate     Fate
	Read     int // Began: tokens of the prompt that were not cached
}

// String is for people.
func (n Note) String() string {
	return fmt.Sprintf("%s %s %s at %s", n.Attempt, n.Path, n.Fate, n.Endpoint)
}

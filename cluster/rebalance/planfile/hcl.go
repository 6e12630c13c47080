package planfile

import "github.com/hashicorp/hcl/v2"

// hclFile is the structure of an operator file in HCL. Package cluster/config reads the site and list blocks and the
// other settings of the fleet and member blocks; this package accepts and ignores them.
type hclFile struct {
	Fleets  []hclFleet    `hcl:"fleet,block"`
	Sites   []hclIgnored  `hcl:"site,block"`
	Lists   []hclIgnored  `hcl:"list,block"`
	Members []hclMember   `hcl:"member,block"`
	Leave   []hclLeave    `hcl:"leave,block"`
	Pin     []hclPin      `hcl:"pin,block"`
	Apart   []hclApart    `hcl:"apart,block"`
	Keep    []hclKeep     `hcl:"keep,block"`
	Alone   []hclAlone    `hcl:"alone,block"`
	Before  []hclBefore   `hcl:"before,block"`
	After   []hclAfter    `hcl:"after,block"`
	Bounds  []hclBounds   `hcl:"bounds,block"`
	Stop    []hclStopWhen `hcl:"stop_when,block"`
}

type hclIgnored struct {
	Name string   `hcl:"name,label"`
	Rest hcl.Body `hcl:",remain"`
}

type hclFleet struct {
	Name   string    `hcl:"name,label"`
	Ranges int       `hcl:"ranges,optional"`
	At     hcl.Range `hcl:",def_range"`
	Rest   hcl.Body  `hcl:",remain"`
}

type hclMember struct {
	Name   string    `hcl:"name,label"`
	Zone   string    `hcl:"zone,optional"`
	Weight *float64  `hcl:"weight,optional"`
	Room   int       `hcl:"room,optional"`
	At     hcl.Range `hcl:",def_range"`
	Rest   hcl.Body  `hcl:",remain"`
}

type hclLeave struct {
	Name string    `hcl:"name,label"`
	At   hcl.Range `hcl:",def_range"`
}

type hclPin struct {
	Name         string    `hcl:"name,label"`
	Destinations []uint32  `hcl:"destinations,optional"`
	Hashes       []string  `hcl:"hashes,optional"`
	To           string    `hcl:"to"`
	At           hcl.Range `hcl:",def_range"`
}

type hclApart struct {
	Name         string    `hcl:"name,label"`
	Destinations []uint32  `hcl:"destinations,optional"`
	Hashes       []string  `hcl:"hashes,optional"`
	By           string    `hcl:"by,optional"`
	At           hcl.Range `hcl:",def_range"`
}

type hclKeep struct {
	Name         string    `hcl:"name,label"`
	Destinations []uint32  `hcl:"destinations,optional"`
	Hashes       []string  `hcl:"hashes,optional"`
	Zone         string    `hcl:"zone"`
	At           hcl.Range `hcl:",def_range"`
}

type hclAlone struct {
	Name         string    `hcl:"name,label"`
	Destinations []uint32  `hcl:"destinations,optional"`
	Hashes       []string  `hcl:"hashes,optional"`
	At           hcl.Range `hcl:",def_range"`
}

type hclBefore struct {
	Name  string    `hcl:"name,label"`
	After []string  `hcl:"after"`
	At    hcl.Range `hcl:",def_range"`
}

type hclAfter struct {
	Name   string    `hcl:"name,label"`
	Before []string  `hcl:"before"`
	At     hcl.Range `hcl:",def_range"`
}

type hclBounds struct {
	MovesAtOnce   *int      `hcl:"moves_at_once,optional"`
	PerMember     *int      `hcl:"per_member,optional"`
	PerZone       *int      `hcl:"per_zone,optional"`
	ValueUnderWay *float64  `hcl:"value_under_way,optional"`
	Pause         string    `hcl:"pause,optional"`
	At            hcl.Range `hcl:",def_range"`
}

type hclStopWhen struct {
	Rejected     *float64  `hcl:"rejected,optional"`
	DeadLettered *float64  `hcl:"dead_lettered,optional"`
	Late         *float64  `hcl:"late,optional"`
	Sick         bool      `hcl:"sick,optional"`
	At           hcl.Range `hcl:",def_range"`
}

// Package settings parses and validates the settings file of a process, and watches it for changes.
package settings

import (
	"net"
	"strconv"
	"time"
)

// loopback is the address at which processes on one machine reach each other.
const loopback = "127.0.0.1"

// Process holds the validated settings of one process. The JSON names are those that `rowanctl settings check --json`
// prints; durations are in nanoseconds there.
type Process struct {
	NodeName string            `json:"NodeName"`
	Zone     string            `json:"Zone"`
	Region   string            `json:"Region"`
	IP       string            `json:"IP"`
	Serves   []string          `json:"Serves"`  // interfaces for outside callers
	Regions  map[string]string `json:"Regions"` // region by zone

	Bind       Bind     `json:"Bind"`
	FirstPort  int      `json:"FirstPort"` // FirstPort to LastPort are reserved for calls among the system's processes
	LastPort   int      `json:"LastPort"`
	Seeds      []string `json:"Seeds"`    // control addresses of a few machines, possibly outdated
	FirstRun   bool     `json:"FirstRun"` // the very first start of the whole system
	CountsLoss bool     `json:"Counts"`   // this machine's loss counts toward FaultTolerance.MachineLosses
	StoreDir   string   `json:"StoreDir"` // empty on a machine without a disk

	Limits            Limits         `json:"Limits"`
	HeartbeatInterval time.Duration  `json:"BeatInterval"` // between two heartbeats of an endpoint
	FaultTolerance    FaultTolerance `json:"Withstand"`
	Bounds            Bounds         `json:"Bounds"`
}

// Bind holds the addresses, host:port, at which the process listens for outside callers. An address is empty if the
// process doesn't serve that interface.
type Bind struct {
	Front     string `json:"Front"`     // clients' requests
	Ready     string `json:"Ready"`     // the platform's readiness checks
	Control   string `json:"Control"`   // operators and endpoints
	Directory string `json:"Directory"` // clients' look-ups
}

// Limits holds the resources of the machine that one process may use.
type Limits struct {
	CPUFraction float64 `json:"CPUFraction"` // of a core
	CPUCores    float64 `json:"CPUCores"`    // speed of that core, as a multiple of an ordinary core's
	MemoryMB    int     `json:"MemoryMB"`
	FileLimit   int     `json:"FileLimit"` // open file descriptors
	LinkMbps    float64 `json:"LinkMbps"`
	DiskMB      int     `json:"DiskMB"`
}

// FaultTolerance holds how many machines, zones and regions may fail at the same time without a violation of any bound.
type FaultTolerance struct {
	MachineLosses int `json:"MachineLosses"`
	Zones         int `json:"Zones"`
	Regions       int `json:"Regions"`
}

// Bounds are the service levels that operators require; docs/settings.md explains each.
type Bounds struct {
	SeedLag         time.Duration `json:"SeedLag"`
	AddressReuse    time.Duration `json:"AddressReuse"`
	QuorumContact   time.Duration `json:"Contact"`
	Acknowledgement time.Duration `json:"Acknowledge"`
	CatchUp         time.Duration `json:"CatchUp"`
	Drain           time.Duration `json:"Drain"`
	Grace           time.Duration `json:"Grace"`
	LossSlack       time.Duration `json:"LossSlack"`
	Activation      time.Duration `json:"Apply"`
	RevertSlack     time.Duration `json:"RevertSlack"`
	Stretch         time.Duration `json:"Stretch"`
	RetryRatio      float64       `json:"RetryRatio"`
	RetryWindow     time.Duration `json:"RetryWindow"`
	RetrySlack      float64       `json:"RetrySlack"`
	WarmUpExcess    float64       `json:"ColdExcess"`
	WarmUpSlack     float64       `json:"ColdSlack"`
	// ExposureShare is the share of a service's requests that may go to a bad version during its roll-out.
	ExposureShare    float64       `json:"ExposureShare"`
	Rollback         time.Duration `json:"Rollback"`
	Evacuation       time.Duration `json:"Evacuate"`
	Recovery         time.Duration `json:"Recovery"`
	StreamForwarding time.Duration `json:"Pass"`
	MaxTTL           time.Duration `json:"TTLMost"`
	Again            string        `json:"Again"` // meaning unknown, without effect; see SettingsWithoutEffect
}

// SettingsWithoutEffect returns the keys of settings that have a value other than zero but no effect in this release,
// because their meaning isn't known.
func (p *Process) SettingsWithoutEffect() (keys []string) {
	if value, err := strconv.ParseFloat(p.Bounds.Again, 64); p.Bounds.Again != "" && (err != nil || value != 0) {
		keys = append(keys, "bounds.again_s")
	}
	return keys
}

// InternalAddress returns the address at which the other processes of the system call this machine.
func (p *Process) InternalAddress() string { return net.JoinHostPort(p.IP, strconv.Itoa(p.FirstPort)) }

// SubscriptionAddress returns the loopback address at which the proxy of this machine polls its agent. If the machine's
// own address is a loopback address, that one is used: simulated machines on one host have different loopback
// addresses, and with a common one their agents would listen on the same port.
func (p *Process) SubscriptionAddress() string {
	host := loopback
	if ip := net.ParseIP(p.IP); ip != nil && ip.IsLoopback() {
		host = p.IP
	}
	return net.JoinHostPort(host, strconv.Itoa(p.FirstPort+1))
}

// InternalAddressOf returns the internal address of the machine that has a control address. The internal port is the
// same on all machines.
func (p *Process) InternalAddressOf(control string) (string, error) {
	host, _, err := net.SplitHostPort(control)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(host, strconv.Itoa(p.FirstPort)), nil
}

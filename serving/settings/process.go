// Package settings parses and validates the settings file of a process, and watches it for changes.
package settings

import (
	"net"
	"strconv"
	"time"
)

// loopback is the address by which processes on one machine reach each other.
const loopback = "127.0.0.1"

// Process holds the validated settings of one process.
type Process struct {
	NodeName string
	Zone     string
	Region   string
	IP       string
	Serves   []string
	Regions  map[string]string // region by zone

	Bind       Bind
	FirstPort  int // the ports from FirstPort to LastPort are for calls among the system's processes
	LastPort   int
	Seeds      []string // control addresses of a few machines, possibly outdated
	FirstRun   bool     // the very first start of the whole system
	CountsLoss bool     // this machine's loss counts toward FaultTolerance.MachineLosses
	StoreDir   string   // empty on a machine without a disk

	Limits            Limits
	HeartbeatInterval time.Duration // between two heartbeats of an endpoint
	FaultTolerance    FaultTolerance
	Bounds            Bounds
}

// Bind holds the addresses, host:port, for outside callers; empty for interfaces that the process doesn't serve.
type Bind struct {
	Front     string // clients' requests
	Ready     string // the platform's readiness checks
	Control   string // operators and endpoints
	Directory string // clients' look-ups
}

// Limits of the machine that one process may use.
type Limits struct {
	CPUFraction float64
	CPUCores    float64
	MemoryMB    int
	FileLimit   int
	LinkMbps    float64
	DiskMB      int
}

// FaultTolerance says what may be lost at the same time while all bounds still hold.
type FaultTolerance struct {
	MachineLosses int
	Zones         int
	Regions       int
}

// Bounds are the service levels that operators require; docs/settings.md explains each.
type Bounds struct {
	SeedLag          time.Duration
	AddressReuse     time.Duration
	QuorumContact    time.Duration
	Acknowledgement  time.Duration
	CatchUp          time.Duration
	Drain            time.Duration
	Grace            time.Duration
	LossSlack        time.Duration
	Activation       time.Duration
	RevertSlack      time.Duration
	Stretch          time.Duration
	RetryRatio       float64
	RetryWindow      time.Duration
	RetrySlack       float64
	WarmUpExcess     float64
	WarmUpSlack      float64
	Evacuation       time.Duration
	Recovery         time.Duration
	StreamForwarding time.Duration
	MaxTTL           time.Duration
}

// InnerAddress returns the address at which the other processes of the system call this machine.
func (p *Process) InnerAddress() string { return net.JoinHostPort(p.IP, strconv.Itoa(p.FirstPort)) }

// FeedAddress returns the loopback address at which the proxy of this machine polls its agent. Simulated machines that
// share one host have loopback addresses of their own and use these, as the common one would clash.
func (p *Process) FeedAddress() string {
	host := loopback
	if ip := net.ParseIP(p.IP); ip != nil && ip.IsLoopback() {
		host = p.IP
	}
	return net.JoinHostPort(host, strconv.Itoa(p.FirstPort+1))
}

// InnerAddressOf returns the inner address of the machine with a control address. The ports are the same on all machines.
func (p *Process) InnerAddressOf(control string) (string, error) {
	host, _, err := net.SplitHostPort(control)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(host, strconv.Itoa(p.FirstPort)), nil
}

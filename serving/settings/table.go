package settings

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// innerPorts is the number of ports that the system's processes on one machine need.
const innerPorts = 2

// Table returns the settings that the system's programs read, in the order of the docs. All other keys of a file
// are ignored: operators may add fields at any time.
func Table() []Setting {
	var all []Setting
	for _, part := range [][]Setting{identitySettings(), bindSettings(), clusterSettings(), limitSettings(), faultToleranceSettings(), boundSettings()} {
		all = append(all, part...)
	}
	return all
}

func identitySettings() []Setting {
	return []Setting{
		required(textSetting("node_name", "Name of the machine.", func(p *Process) *string { return &p.NodeName })),
		required(Setting{Key: "ip_addr", Type: typeIP, Doc: "The machine's own address.", store: storeIP}),
		required(textSetting("zone", "Zone of the machine.", func(p *Process) *string { return &p.Zone })),
		required(textSetting("region", "Region of the machine.", func(p *Process) *string { return &p.Region })),
		{Key: "serves", Type: typeWords, Doc: "What outside callers may ask of this process.", store: storeServes},
		{Key: "zones.", Pattern: true, Type: typeText, Doc: "Region of the zone that the key's rest names.", store: storeZone},
	}
}

func bindSettings() []Setting {
	return []Setting{
		addressSetting("bind.front_door", "Where clients' requests are taken.", func(p *Process) *string { return &p.Bind.Front }),
		addressSetting("bind.ready_addr", "Where the platform asks for readiness.", func(p *Process) *string { return &p.Bind.Ready }),
		addressSetting("bind.control_addr", "Where operators and endpoints call.", func(p *Process) *string { return &p.Bind.Control }),
		addressSetting("bind.directory_addr", "Where clients look up where to go.", func(p *Process) *string { return &p.Bind.Directory }),
	}
}

func clusterSettings() []Setting {
	return []Setting{
		required(Setting{Key: "port_range", Type: typePorts, store: storePorts,
			Doc: "Ports for calls between the system's own processes, alike on all machines; two at least."}),
		{Key: "seed_nodes", Type: typeSeedList, Doc: "Control addresses of a few machines to join through.", store: storeSeeds},
		boolSetting("first_run", "The very first start of the whole system, with empty disks.",
			func(p *Process) *bool { return &p.FirstRun }),
		boolSetting("counts_loss", "The loss of this machine counts among those to be withstood.",
			func(p *Process) *bool { return &p.CountsLoss }),
		textSetting("store_dir", "Folder for data that must outlast the process; empty on a machine without a disk.",
			func(p *Process) *string { return &p.StoreDir }),
		millisecondsSetting("beat_ms", "1000", "Time between two heartbeats of an endpoint.",
			func(p *Process) *time.Duration { return &p.HeartbeatInterval }),
	}
}

func limitSettings() []Setting {
	return []Setting{
		numberSetting("limits.cpu_fraction", "1", "Share of a core that the process may use.",
			func(p *Process) *float64 { return &p.Limits.CPUFraction }),
		numberSetting("limits.cpu_cores", "1", "Speed of that core against an ordinary one.",
			func(p *Process) *float64 { return &p.Limits.CPUCores }),
		integerSetting("limits.ram_mb", "256", "Memory that the process may use, in megabytes.",
			func(p *Process) *int { return &p.Limits.MemoryMB }),
		integerSetting("limits.file_limit", "1024", "Descriptors that the process may hold.",
			func(p *Process) *int { return &p.Limits.FileLimit }),
		numberSetting("limits.link_mbps", "1000", "Bandwidth of the machine's link, in megabits a second.",
			func(p *Process) *float64 { return &p.Limits.LinkMbps }),
		integerSetting("limits.disk_mb", "0", "Size of the disk, in megabytes.",
			func(p *Process) *int { return &p.Limits.DiskMB }),
	}
}

func faultToleranceSettings() []Setting {
	return []Setting{
		integerSetting("withstand.machine_losses", "0", "Machines with data that may be lost at once.",
			func(p *Process) *int { return &p.FaultTolerance.MachineLosses }),
		integerSetting("withstand.zones", "0", "Zones that may be lost at once.", func(p *Process) *int { return &p.FaultTolerance.Zones }),
		integerSetting("withstand.region_losses", "0", "Regions that may be lost at once.",
			func(p *Process) *int { return &p.FaultTolerance.Regions }),
	}
}

func storeIP(p *Process, _, value string) error {
	p.IP = value
	if net.ParseIP(value) == nil {
		return errors.New("no IP number")
	}
	return nil
}

func storeServes(p *Process, _, value string) error {
	p.Serves = splitList(value)
	return nil
}

func storeZone(p *Process, zone, region string) error {
	if zone == "" || region == "" {
		return errors.New("a zone and a region must be named")
	}
	p.Regions[zone] = region
	return nil
}

func storePorts(p *Process, _, value string) (err error) {
	ports := splitList(value)
	if len(ports) != 2 {
		return errors.New("not two ports")
	}
	if p.FirstPort, err = parsePort(ports[0]); err != nil {
		return err
	}
	if p.LastPort, err = parsePort(ports[1]); err != nil {
		return err
	}
	if p.LastPort-p.FirstPort < innerPorts-1 {
		return errors.Newf("%d ports are needed", innerPorts)
	}
	return nil
}

func storeSeeds(p *Process, _, value string) error {
	p.Seeds = splitList(value)
	for _, seed := range p.Seeds {
		if err := checkAddress(seed); err != nil {
			return err
		}
	}
	return nil
}

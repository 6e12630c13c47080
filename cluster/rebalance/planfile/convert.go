package planfile

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

const (
	maxWeight   = 1e6
	maxCooldown = 24 * time.Hour
)

func (f *File) convertMembers(source *hclFile) error {
	for _, block := range source.Fleets {
		f.Ranges = block.Ranges
		if f.Ranges < 0 || f.Ranges > MaxRanges {
			return f.Errorf(block.At.Start.Line, "ranges is %d; it may be 1 to %d", f.Ranges, MaxRanges)
		}
	}
	for _, block := range source.Members {
		member, err := f.convertMember(block)
		if err != nil {
			return err
		}
		f.Members = append(f.Members, member)
	}
	if len(f.Members) == 0 {
		return f.Errorf(1, "no member; a plan needs one or more")
	}
	return nil
}

func (f *File) convertMember(block hclMember) (Member, error) {
	member := Member{
		ID:       cluster.MemberID(block.Name),
		Zone:     block.Zone,
		Weight:   1,
		Capacity: block.Room,
		Line:     block.At.Start.Line,
	}
	setIfPresent(&member.Weight, block.Weight)
	line, earlier := member.Line, f.FindMember(member.ID)
	switch {
	case block.Name == "":
		return member, f.Errorf(line, `member ""; it needs a name`)
	case earlier != nil:
		return member, f.Errorf(line, "member %q is already defined in line %d", block.Name, earlier.Line)
	case !(member.Weight >= 0 && member.Weight <= maxWeight): // written this way so that NaN is rejected
		return member, f.Errorf(line, "weight of member %q is %g; it may be 0 to 1e6", block.Name, member.Weight)
	case block.Room < 0:
		return member, f.Errorf(line, "room of member %q is %d; it may be 1 or more, or 0 for no bound", block.Name,
			block.Room)
	case len(f.Members) == maxMembers:
		return member, f.Errorf(line, "more than %d members", maxMembers)
	}
	return member, nil
}

func (f *File) convertRules(source *hclFile) error {
	for _, b := range source.Leave {
		f.Rules = append(f.Rules, Rule{
			Kind:   Drain,
			Name:   b.Name,
			Line:   b.At.Start.Line,
			Member: cluster.MemberID(b.Name),
		})
	}
	for _, b := range source.Pin {
		rule := Rule{Kind: Pin, Name: b.Name, Line: b.At.Start.Line, Member: cluster.MemberID(b.To)}
		if err := f.addSelectingRule(rule, b.Destinations, b.Hashes); err != nil {
			return err
		}
	}
	for _, b := range source.Apart {
		rule := Rule{Kind: AntiAffinity, Name: b.Name, Line: b.At.Start.Line, ByZone: b.By == "zone"}
		if !slices.Contains([]string{"", "member", "zone"}, b.By) {
			return f.Errorf(rule.Line, "by is %q in apart %q; it may be \"member\" or \"zone\"", b.By, b.Name)
		}
		if err := f.addSelectingRule(rule, b.Destinations, b.Hashes); err != nil {
			return err
		}
	}
	for _, b := range source.Keep {
		rule := Rule{Kind: ZoneAffinity, Name: b.Name, Line: b.At.Start.Line, Zone: b.Zone}
		if err := f.addSelectingRule(rule, b.Destinations, b.Hashes); err != nil {
			return err
		}
	}
	for _, b := range source.Alone {
		rule := Rule{Kind: Dedicated, Name: b.Name, Line: b.At.Start.Line, Member: cluster.MemberID(b.Name)}
		if err := f.addSelectingRule(rule, b.Destinations, b.Hashes); err != nil {
			return err
		}
	}
	slices.SortStableFunc(f.Rules, func(a, b Rule) int { return a.Line - b.Line })
	return nil
}

// addSelectingRule adds a rule that selects ranges by destinations, hashes or both. It rejects a rule with neither.
func (f *File) addSelectingRule(rule Rule, destinations []uint32, hashes []string) error {
	for _, d := range destinations {
		rule.Selector.Destinations = append(rule.Selector.Destinations, api.DestinationID(d))
	}
	if hashes != nil {
		if err := f.convertHashes(&rule, hashes); err != nil {
			return err
		}
	}
	if len(destinations) == 0 && !rule.Selector.HasHashes {
		return f.Errorf(rule.Line,
			"%s %q names nothing; it may have destinations = [7, 9], hashes = [\"0x0\", \"0xff\"]", rule.Kind, rule.Name)
	}
	f.Rules = append(f.Rules, rule)
	return nil
}

func (f *File) convertHashes(rule *Rule, hashes []string) error {
	first, last, err := parseHashes(hashes)
	if err != nil {
		return f.Errorf(rule.Line,
			"hashes of %s %q are %q; they may be [FIRST, LAST], as in [\"0x0\", \"0x7fffffffffffffff\"]",
			rule.Kind, rule.Name, hashes)
	}
	rule.Selector.HasHashes = true
	rule.Selector.FirstHash = first
	rule.Selector.LastHash = last
	return nil
}

func parseHashes(hashes []string) (first, last cluster.KeyHash, err error) {
	if len(hashes) != 2 {
		return 0, 0, fmt.Errorf("%d hashes", len(hashes))
	}
	low, err := strconv.ParseUint(hashes[0], 0, 64)
	if err != nil {
		return 0, 0, err
	}
	high, err := strconv.ParseUint(hashes[1], 0, 64)
	if err != nil {
		return 0, 0, err
	}
	if low > high {
		return 0, 0, fmt.Errorf("the first hash is above the last")
	}
	return cluster.KeyHash(low), cluster.KeyHash(high), nil
}

func (f *File) convertLimits(source *hclFile) error {
	f.Limits.ConcurrentMoves = 1
	for i, block := range source.Bounds {
		line := block.At.Start.Line
		if i > 0 {
			return f.Errorf(line, "a second bounds block; the first is in line %d", f.Limits.Line)
		}
		f.Limits.Line = line
		counts := []struct {
			key   string
			value *int
			limit *int
		}{
			{"moves_at_once", block.MovesAtOnce, &f.Limits.ConcurrentMoves},
			{"per_member", block.PerMember, &f.Limits.MovesPerMember},
			{"per_zone", block.PerZone, &f.Limits.MovesPerZone},
		}
		for _, c := range counts {
			if c.value != nil && *c.value < 1 {
				return f.Errorf(line, "%s is %d; it may be 1 or more", c.key, *c.value)
			}
			setIfPresent(c.limit, c.value)
		}
		if value := block.ValueUnderWay; value != nil && !(*value > 0 && *value < math.MaxFloat64) {
			return f.Errorf(line, "value_under_way is %g; it may be more than 0", *value)
		}
		setIfPresent(&f.Limits.ValueInFlight, block.ValueUnderWay)
		if block.Pause != "" {
			pause, err := time.ParseDuration(block.Pause)
			if err != nil || pause < 0 || pause > maxCooldown {
				return f.Errorf(line, "pause is %q; it may be \"0s\" to \"24h\"", block.Pause)
			}
			f.Limits.Cooldown = api.Micros(pause.Microseconds())
		}
	}
	return nil
}

func (f *File) convertStopConditions(source *hclFile) error {
	conditions := &f.StopConditions
	conditions.Rejected = -1
	conditions.DeadLettered = -1
	conditions.Late = -1
	for i, block := range source.Stop {
		line := block.At.Start.Line
		if i > 0 {
			return f.Errorf(line, "a second stop_when block; the first is in line %d", conditions.Line)
		}
		conditions.Line = line
		conditions.Unhealthy = block.Sick
		shares := []struct {
			key   string
			value *float64
			limit *float64
		}{
			{"rejected", block.Rejected, &conditions.Rejected},
			{"dead_lettered", block.DeadLettered, &conditions.DeadLettered},
			{"late", block.Late, &conditions.Late},
		}
		for _, s := range shares {
			if s.value != nil && !(*s.value >= 0 && *s.value <= 1) {
				return f.Errorf(line, "%s is %g; it may be a share from 0 to 1", s.key, *s.value)
			}
			setIfPresent(s.limit, s.value)
		}
	}
	return nil
}

// setIfPresent sets a target to an optional value if the file states it.
func setIfPresent[T any](target *T, value *T) {
	if value != nil {
		*target = *value
	}
}

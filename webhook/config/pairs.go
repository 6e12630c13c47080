package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"rowanlink/webhook/api"
)

// Bounds and units of numbers in settings.
const (
	maxNumber          = 1 << 62
	maxCount           = 1 << 31
	nanosecondsPerUnit = 1000 // settings are in nanoseconds, api.Micros in microseconds
)

// pairs holds settings as path=value pairs and reads typed values from them. Unknown keys are ignored. err is the error
// of the first invalid value.
type pairs struct {
	values map[string]string
	err    error
}

func parsePairs(text string) *pairs {
	p := &pairs{values: map[string]string{}}
	for line := range strings.Lines(text) {
		if key, value, ok := strings.Cut(strings.TrimRight(line, "\r\n"), "="); ok {
			p.values[key] = value
		}
	}
	return p
}

// fail records an error unless there is one already.
func (p *pairs) fail(err error) {
	if p.err == nil {
		p.err = err
	}
}

// flatten adds a JSON value as the path=value pairs that the simulator gives for it: a.b=value for objects, a.0.b=value
// and a.count=n for arrays of objects, and a=x,y for arrays of scalars.
func (p *pairs) flatten(path string, v gjson.Result) {
	below := func(name string) string { return strings.TrimPrefix(path+"."+name, ".") }
	switch {
	case v.IsObject():
		v.ForEach(func(name, item gjson.Result) bool {
			p.flatten(below(name.String()), item)
			return true
		})
	case v.IsArray():
		var scalars []string
		items := v.Array()
		for i, item := range items {
			if item.IsObject() {
				p.flatten(below(strconv.Itoa(i)), item)
				p.values[below("count")] = strconv.Itoa(len(items))
			} else {
				scalars = append(scalars, item.String())
			}
		}
		p.values[path] = strings.Join(scalars, ",")
	default:
		p.values[path] = v.String()
	}
}

func (p *pairs) number(key string) float64 {
	text := p.values[key]
	if text == "" {
		return 0
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || math.Abs(v) > maxNumber {
		p.fail(fmt.Errorf("setting %s: %q is not a usable number", key, text))
	}
	return v
}

func (p *pairs) count(key string) int { return int(max(0, min(p.number(key), maxCount))) }

func (p *pairs) flag(key string) bool { return p.values[key] == "true" }

// microsRoundedDown converts a setting in nanoseconds. It rounds down, for durations that must not be exceeded.
func (p *pairs) microsRoundedDown(key string) api.Micros {
	return api.Micros(math.Floor(p.number(key) / nanosecondsPerUnit))
}

// microsRoundedUp converts a setting in nanoseconds. It rounds up, for durations that must be waited in full.
func (p *pairs) microsRoundedUp(key string) api.Micros {
	return api.Micros(math.Ceil(p.number(key) / nanosecondsPerUnit))
}

func (p *pairs) list(key string) []string {
	if p.values[key] == "" {
		return nil
	}
	return strings.Split(p.values[key], ",")
}

// entries returns the number of objects in a list. It is limited to the number of pairs, so that a wrong count can't
// cause a huge list.
func (p *pairs) entries(key string) int {
	return min(p.count(key+".count"), len(p.values))
}

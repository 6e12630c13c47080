package simadapter

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
	"rowanlink/webhook/config"
	"rowanlink/webhook/policy"
)

const settings = "classes.count=1\nclasses.0.aim=2000000000\nclasses.0.deadline=9000000000\n" +
	"classes.0.repeat=pure\nclasses.0.worth=1\nkinds=a\nfamilyInfo.slots=4\nlimits.openCap=9\n" +
	"limits.maxAttempts=3\nfleetSize=1\nperiod=5000000\nunknown.key=x,y\n"

func start(f api.Settings, h api.Host) api.Policy { return policy.New(f, h) }

// le puts values of the wire's types one behind the other.
func le(values ...any) []byte {
	var b bytes.Buffer
	for _, v := range values {
		if text, ok := v.(string); ok {
			v = []byte(text)
		}
		if err := binary.Write(&b, binary.LittleEndian, v); err != nil {
			panic(err)
		}
	}
	return b.Bytes()
}

func record(code byte, values ...any) []byte {
	body := le(values...)
	return append(le(code, uint32(len(body))), body...)
}

func batch(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	return append(le(uint32(len(body)), uint64(1e9), uint32(7)), body...)
}

func open(who uint16) []byte {
	return record(evOpen, who, uint64(5), uint32(len(settings)), settings)
}

func list() []byte {
	return record(evDefine, uint16(2), uint32(1),
		uint32(77), uint16(0), uint16(0), uint16(3), byte(0), float32(9), uint64(0))
}

func topology(who uint16) []byte { return record(evTopology, who, uint64(1), uint16(2), byte(2)) }

func webhook(who uint16, id uint32) []byte {
	return record(evNew, who, id, byte(0), uint32(0), uint64(0), uint64(9e9), uint64(0), float32(3), byte(0))
}

func serve(t testing.TB, input []byte) ([]byte, error) {
	var out bytes.Buffer
	err := Serve(bytes.NewReader(input), &out, start)
	return out.Bytes(), err
}

func TestWebhookIsSentToItsEndpoint(t *testing.T) {
	out, err := serve(t, append(batch(), batch(open(3), list(), topology(3), webhook(3, 42))...))
	assert.NoError(t, err)
	assert.Equal(t, le(uint32(0), uint32(0), uint32(7)), out[:replyHeaderLen], "an empty batch has its reply")
	assert.Contains(t, string(out), string(le(byte(actAttempt), uint32(18), uint16(3), uint32(42), uint32(77))))
}

func TestKilledAndBackInOneBatchStartsAnew(t *testing.T) {
	vanish := record(evDetach, uint16(3))
	out, err := serve(t, batch(open(3), list(), topology(3), webhook(3, 42), vanish, open(3), topology(3)))
	assert.NoError(t, err)
	assert.NotContains(t, string(out), string(le(byte(actAttempt), uint32(18))), "its old life is forgotten")
}

func TestPanicBecomesTheLastAction(t *testing.T) {
	var out bytes.Buffer
	err := Serve(bytes.NewReader(batch(open(3))), &out, func(api.Settings, api.Host) api.Policy {
		panic("no idea")
	})
	assert.NoError(t, err)
	assert.Equal(t, byte(actCrash), out.Bytes()[replyHeaderLen])
	assert.Contains(t, out.String(), "no idea")
}

func malformed() map[string][]byte {
	long := le(byte(evWakeup), uint32(99), uint16(3))
	return map[string][]byte{
		"batch header":  {1, 2, 3},
		"breaks off":    le(uint32(1<<31), uint64(0), uint32(0)),
		"short record":  batch([]byte{7, 0}),
		"are left":      batch(open(3), long),
		"unknown code":  batch(record(99, uint16(3))),
		"is unknown":    batch(record(evWakeup, uint16(9), uint32(0))),
		"never defined": batch(open(3), topology(3)),
		"shorter than":  batch(open(3), record(evWakeup, uint16(3))),
		"number of one": batch(open(3), bytes.Replace(webhook(3, 1), le(float32(3)), le(float32(-1)), 1)),
		"list number":   batch(record(evDefine, uint16(16), uint32(0))),
		"outcome 9": batch(open(3), record(evOutcome, uint16(3), uint32(1), byte(0), uint32(1), uint16(9),
			uint64(0), byte(0), uint32(0), byte(0))),
		"not a usable":      batch(record(evOpen, uint16(1), uint64(1), uint32(11), "fleetSize=x")),
		"form 9":            batch(open(3), list(), record(evTopology, uint16(3), uint64(1), uint16(2), byte(9))),
		"state 7":           batch(bytes.Replace(list(), le(uint16(3), byte(0)), le(uint16(3), byte(7)), 1)),
		"shorter than its ": batch(record(evDefine, uint16(0), uint32(1<<31))),
	}
}

func TestMalformedInputGetsAPlainMessage(t *testing.T) {
	for message, input := range malformed() {
		_, err := serve(t, input)
		if assert.Error(t, err, message) {
			assert.True(t, strings.Contains(err.Error(), message), "%q is not in %q", message, err)
		}
	}
}

func FuzzServe(f *testing.F) {
	for _, input := range malformed() {
		f.Add(input)
	}
	f.Add(batch(open(3), list(), topology(3), webhook(3, 42)))
	f.Fuzz(func(t *testing.T, input []byte) {
		out, err := serve(t, input)
		if err == nil && len(input) > 0 {
			assert.GreaterOrEqual(t, len(out), replyHeaderLen, "each batch has its reply")
		}
		assert.NotContains(t, string(out), "goroutine ", "the module panicked")
	})
}

// told notes the reports that reach a module.
type told struct {
	api.Policy
	left, limit float64
}

func (m *told) ReportLoad(r api.LoadReport) { m.left, m.limit = r.Headroom, r.Limit }

func TestAReportReachesTheModuleByItsNamesAndAShortOneTellsNothing(t *testing.T) {
	m := &told{}
	in := &instance{module: m}
	in.left, in.limit = config.Reports("reporting.names=x1,x0\n")
	values := binary.LittleEndian.AppendUint32([]byte{2}, math.Float32bits(40))
	values = binary.LittleEndian.AppendUint32(values, math.Float32bits(0.5))
	in.report(&fields{left: values}, 1)()
	assert.Equal(t, []float64{0.5, 40}, []float64{m.left, m.limit})
	in.report(&fields{left: []byte{0}}, 1)()
	in.report(&fields{left: values[:5]}, 1)
	assert.InDelta(t, 0.5, m.left, 1e-9)
}

package strictcbor

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// message has a field that the older version of the type, olderMessage, lacks.
type message struct {
	Name  string         `cbor:"1,keyasint"`
	Added map[string]int `cbor:"2,keyasint,omitempty"`
}

type olderMessage struct {
	Name string `cbor:"1,keyasint"`
}

func TestMarshal_IsDeterministic(t *testing.T) {
	codec := New(Options{})
	value := message{Name: "n", Added: map[string]int{}}
	for _, key := range []string{"c", "a", "b", "aa"} {
		value.Added[key] = len(value.Added)
	}
	first := codec.MustMarshal(value)
	for range 20 {
		assert.Equal(t, first, codec.MustMarshal(value))
	}
	var decoded message
	require.NoError(t, codec.Unmarshal(first, &decoded))
	assert.Equal(t, value, decoded)
}

func TestUnmarshal_UnknownFields(t *testing.T) {
	encoded := New(Options{}).MustMarshal(message{Name: "n", Added: map[string]int{"a": 1}})
	var older olderMessage
	require.NoError(t, New(Options{}).Unmarshal(encoded, &older))
	assert.Equal(t, "n", older.Name)
	assert.Error(t, New(Options{RejectUnknownFields: true}).Unmarshal(encoded, &older))
}

// TestUnmarshal_Rejects checks that decoding fails on what two versions of a program could decode differently, and on
// what exceeds a limit.
func TestUnmarshal_Rejects(t *testing.T) {
	codec := New(Options{MaxNestedLevels: 4, MaxArrayElements: 16, MaxMapPairs: 16})
	for name, encoded := range map[string][]byte{
		"a duplicate key":         {0xa2, 0x01, 0x61, 'a', 0x01, 0x61, 'b'},
		"an indefinite length":    {0xbf, 0x01, 0x61, 'a', 0xff},
		"a tag":                   {0xc1, 0xa1, 0x01, 0x61, 'a'},
		"trailing bytes":          {0xa1, 0x01, 0x61, 'a', 0x00},
		"nested too deeply":       {0x81, 0x81, 0x81, 0x81, 0x81, 0x80},
		"a truncated text":        {0xa1, 0x01, 0x62, 'a'},
		"a list that is too long": append([]byte{0x91}, make([]byte, 17)...),
	} {
		var value any
		assert.Error(t, codec.Unmarshal(encoded, &value), name)
	}
}

func TestMustMarshal_PanicsOnWhatHasNoEncoding(t *testing.T) {
	assert.Panics(t, func() { New(Options{}).MustMarshal(make(chan int)) })
}

package wireschema

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

type inner struct {
	Count int `cbor:"1,keyasint"`
}

type outer struct {
	_      struct{} `cbor:",toarray"`
	Name   string   `cbor:"n,omitempty"`
	Inner  []inner
	ByName map[string]*inner `json:"by_name"`
	Hidden int               `cbor:"-"`
	inner
	private int
}

func TestDescribe(t *testing.T) {
	assert.Equal(t, `struct 0
	_ ",toarray"
	n string omitempty
	Inner []struct 1
	by_name map[string]*struct 1
	1 int keyasint
struct 1
	1 int keyasint
`, Describe(CBOR, outer{private: 1}))
}

func TestDescribeJSONIgnoresTagsOfCBOR(t *testing.T) {
	assert.Equal(t, "struct 0\n\tCount int\n", Describe(JSON, inner{}))
}

func TestDescribeRecursiveTypes(t *testing.T) {
	type node struct{ Children []*node }
	assert.Equal(t, "struct 0\n\tChildren []*struct 0\n", Describe(CBOR, node{}))
}

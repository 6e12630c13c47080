package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/webhook/api"
)

const minimalFile = `fleet "orders" { term = "3s" }
member "m1" {
  says = "127.0.0.1:7101"
  log  = "127.0.0.1:7201"
}
member "m2" { says = "127.0.0.1:7102" }
`

func TestParse_IgnoresPlanBlocks(t *testing.T) {
	f, err := Parse([]byte(minimalFile+`site "depot" {
  relay       = "m2"
  subscribers = [5, 3, 5]
}
list "prices" { subscribers = [3, 9] }
leave "m2" {}
`), "f.hcl")
	require.NoError(t, err)
	assert.Equal(t, 3*api.Second, f.LeaseTTL)
	assert.Equal(t, defaultMaxClockDrift, f.MaxClockDrift)
	assert.Equal(t, 1.0, f.Members[1].Weight)
	assert.Equal(t, []api.DestinationID{3, 5}, f.Sites[0].Subscribers)
	s, ok := f.SiteOf(5)
	assert.True(t, ok)
	assert.EqualValues(t, "m2", s.Relay)
	_, ok = f.SiteOf(9)
	assert.False(t, ok)
}

func TestParse_ErrorsAreOneLineWithPosition(t *testing.T) {
	for text, want := range map[string]string{
		minimalFile + `member "m3" {`:                              "f.hcl:7: ",
		minimalFile + "member \"m1\" { says = \"127.0.0.1:1\" }\n": "f.hcl:7: member m1 stands in line 2",

		minimalFile + `member "m3" { says = "127.0.0.1:7101" }`: "f.hcl:7: address 127.0.0.1:7101 stands in line 2",
		minimalFile + `member "m3" { says = "here" }`:           `f.hcl:7: member "m3": "here" is no host:port`,

		minimalFile + "member \"m3\" {}\n":                                  "f.hcl:7: Missing required argument",
		strings.Replace(minimalFile, `"3s"`, `"3 s"`, 1):                    "f.hcl:1: term is \"3 s\"",
		strings.Replace(minimalFile, `"3s"`, `"3s" clocks = 1`, 1):          "f.hcl:1: ",
		strings.Replace(minimalFile, `term = "3s"`, `clocks_apart = -1`, 1): "f.hcl:1: clocks_apart is -1",
		strings.Replace(minimalFile, `  log  = "127.0.0.1:7201"`, ``, 1):    "f.hcl:1: 0 members have an address log",
		minimalFile + `site "x" {
  relay = "m9"
  subscribers = [1]
}`: `f.hcl:7: site "x": no member is called "m9"`,
		minimalFile + `site "x" {
  relay = "m2"
  subscribers = [1]
}
site "y" {
  relay = "m2"
  subscribers = [2]
}`: `f.hcl:11: site "y": m2 is the relay of the site in line 7 already`,
		minimalFile + `list "x" { subscribers = [] }`: `f.hcl:7: list "x" has no subscriber`,
		`member "m1" { says = "127.0.0.1:1" }`:        "f.hcl: 0 blocks fleet",
	} {
		t.Run(fmt.Sprint(len(text)), func(t *testing.T) {
			_, err := Parse([]byte(text), "f.hcl")
			require.Error(t, err)
			assert.NotContains(t, err.Error(), "\n")
			assert.Contains(t, err.Error(), want)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalFile))
	f.Fuzz(func(t *testing.T, text []byte) {
		if file, err := Parse(text, "f.hcl"); err == nil {
			assert.NotEmpty(t, file.Members)
		} else {
			assert.NotContains(t, err.Error(), "\n")
		}
	})
}

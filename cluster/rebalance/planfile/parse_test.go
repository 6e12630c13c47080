package planfile

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Each file has one error. The message names the line, what is allowed there, and the line that it contradicts. The
// members are in lines 1 to 3.
func TestParse_ErrorsNameBothLines(t *testing.T) {
	const members = "member \"a\" { zone = \"x\" }\nmember \"b\" { zone = \"x\" }\n" +
		"member \"c\" { zone = \"y\" }\n"
	for _, c := range []struct{ name, text, want string }{
		{"empty", "", "f.hcl:1: no member"},
		{"not HCL", members + "pin {", "f.hcl:4: "},
		{"unknown block", members + "move \"a\" {}", "f.hcl:4: Unsupported block type"},
		{"unknown word", members + "bounds { moves = 3 }", "f.hcl:4: Unsupported argument"},
		{"deep", "x = " + strings.Repeat("[", 100), "f.hcl:1: brackets within brackets; they may be 64 deep"},
		{"member twice", members + "member \"a\" {}", `f.hcl:4: member "a" is already defined in line 1`},
		{"weight", "member \"a\" { weight = -1 }", `f.hcl:1: weight of member "a" is -1; it may be 0 to 1e6`},
		{"room", "member \"a\" { room = -1 }", `f.hcl:1: room of member "a" is -1; it may be 1 or more`},
		{"bounds twice", members + "bounds {}\nbounds {}",
			"f.hcl:5: a second bounds block; the first is in line 4"},
		{"bound", members + "bounds { per_zone = 0 }", "f.hcl:4: per_zone is 0; it may be 1 or more"},
		{"value", members + "bounds { value_under_way = 0 }",
			"f.hcl:4: value_under_way is 0; it may be more than 0"},
		{"pause", members + "bounds { pause = \"2\" }", `f.hcl:4: pause is "2"; it may be "0s" to "24h"`},
		{"share", members + "stop_when { late = 2 }", "f.hcl:4: late is 2; it may be a share from 0 to 1"},
		{"hashes", members + "pin \"p\" {\n hashes = [\"0x9\", \"0x1\"]\n to = \"a\"\n}",
			`f.hcl:4: hashes of pin "p" are ["0x9" "0x1"]; they may be [FIRST, LAST]`},
		{"nothing", members + "keep \"k\" { zone = \"x\" }", `f.hcl:4: keep "k" names nothing; it may have`},
		{"by", members + "apart \"k\" {\n destinations = [1]\n by = \"rack\"\n}",
			`f.hcl:4: by is "rack" in apart "k"; it may be "member" or "zone"`},
		{"no such member", members + "leave \"d\" {}",
			`f.hcl:4: leave "d": no member is called "d"; it may be "a", "b", "c"`},
		{"name twice", members + "leave \"a\" {}\nkeep \"a\" {\n destinations = [1]\n zone = \"y\"\n}",
			`f.hcl:5: keep "a": the name is used by leave in line 4`},
		{"pin to one that leaves", members + "pin \"p\" {\n destinations = [1]\n to = \"a\"\n}\nleave \"a\" {}",
			`f.hcl:4: pin "p" wants ranges on "a", which leaves by line 8`},
		{"keep to no zone", members + "keep \"k\" {\n destinations = [1]\n zone = \"z\"\n}",
			`f.hcl:4: keep "k": zone "z" has no member (members from line 1 on); it may be "x", "y"`},
		{"keep to one that leaves", members + "leave \"c\" {}\nkeep \"k\" {\n destinations = [1]\n zone = \"y\"\n}",
			`f.hcl:5: keep "k": zone "y" has no member that stays: "c" leaves by line 4`},
		{"no such rule", members + "leave \"a\" {}\nbefore \"a\" { after = [\"p\"] }",
			`f.hcl:5: no rule is called "p"; it may be`},
		{"cycle of precedences", members + "leave \"a\" {}\nleave \"b\" {}\nbefore \"a\" { after = [\"b\"] }\n" +
			"after \"a\" { before = [\"b\"] }",
			`f.hcl:7: the precedences form a cycle: "a" before "b" (line 6), "b" before "a" (line 7)`},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(c.text), "f.hcl")
			require.Error(t, err)
			assert.Contains(t, err.Error(), c.want)
			assert.NotContains(t, err.Error(), "\n")
		})
	}
}

func TestParse_ExampleFile(t *testing.T) {
	example, err := os.ReadFile("../../../deploy/fleet.hcl")
	require.NoError(t, err)
	f, err := Parse(example, "fleet.hcl")
	require.NoError(t, err)
	assert.NotEmpty(t, f.Members)
	assert.NotEmpty(t, f.Rules)
	assert.True(t, strings.HasPrefix(f.Errorf(f.Rules[0].Line, "wrong").Error(), "fleet.hcl:"))
}

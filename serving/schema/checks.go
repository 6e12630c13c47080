package schema

import (
	"strings"

	"github.com/tidwall/gjson"
)

// Check validates a value before it is parsed as the field's type. It returns the problem, empty if there is none.
// Values of other JSON types pass: the field's type rejects them.
type Check func(value gjson.Result) (problem string)

// NotEmpty is a Check for a non-empty string.
func NotEmpty(value gjson.Result) (problem string) {
	if value.Type == gjson.String && value.Str == "" {
		return "must not be empty"
	}
	return ""
}

// Positive is a Check for a number above 0.
func Positive(value gjson.Result) (problem string) {
	if value.Type == gjson.Number && !(value.Num > 0) {
		return "must be above 0"
	}
	return ""
}

// SlashDelimited is a Check for a string that begins and ends with a slash.
func SlashDelimited(value gjson.Result) (problem string) {
	if value.Type != gjson.String {
		return ""
	}
	if !strings.HasPrefix(value.Str, "/") || !strings.HasSuffix(value.Str, "/") {
		return "must begin and end with a slash"
	}
	return ""
}

package schema

import (
	"strings"

	"github.com/tidwall/gjson"
)

// NotEmpty wants a string of one byte or more.
func NotEmpty(value gjson.Result) string {
	if value.Type == gjson.String && value.Str == "" {
		return "must not be empty"
	}
	return ""
}

// Positive wants a number above 0.
func Positive(value gjson.Result) string {
	if value.Type == gjson.Number && !(value.Num > 0) {
		return "must be above 0"
	}
	return ""
}

// SlashDelimited wants a string that begins and ends with a slash.
func SlashDelimited(value gjson.Result) string {
	if value.Type != gjson.String {
		return ""
	}
	if !strings.HasPrefix(value.Str, "/") || !strings.HasSuffix(value.Str, "/") {
		return "must begin and end with a slash"
	}
	return ""
}

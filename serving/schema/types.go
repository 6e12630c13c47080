package schema

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"
)

// maxExactInteger is the largest integer that JSON numbers hold exactly everywhere.
const maxExactInteger = 1 << 53

// initialListCapacity is the length that a list of objects is first made for.
const initialListCapacity = 4

// maxDuration is the longest time that a field may name; longer ones are cut to it.
const maxDuration = 1000 * time.Hour

// typeError says that a value is not of the type that a field needs.
func typeError(wanted string, value gjson.Result) error {
	return &fieldError{problem: "must be " + wanted + ", found " + excerpt(value.Raw)}
}

// String is a string.
func String[Into any](place func(*Into) *string) Type[Into] {
	return Type[Into]{Name: "text", store: func(into *Into, value gjson.Result) error {
		if value.Type != gjson.String {
			return typeError("a text", value)
		}
		*place(into) = strings.Clone(value.Str)
		return nil
	}}
}

// Strings is a list of strings.
func Strings[Into any](place func(*Into) *[]string) Type[Into] {
	return Type[Into]{Name: "list of texts", store: func(into *Into, value gjson.Result) error {
		if !value.IsArray() {
			return typeError("a list of texts", value)
		}
		var texts []string
		for _, item := range value.Array() {
			if item.Type != gjson.String {
				return typeError("a list of texts", value)
			}
			texts = append(texts, strings.Clone(item.Str))
		}
		*place(into) = texts
		return nil
	}}
}

// Enum is one of a few strings that stand for values.
func Enum[Into, Value any](words map[string]Value, place func(*Into) *Value) Type[Into] {
	return Type[Into]{Name: "word", store: func(into *Into, value gjson.Result) error {
		meaning, known := words[value.Str]
		if value.Type != gjson.String || !known {
			return typeError("a word that is known here", value)
		}
		*place(into) = meaning
		return nil
	}}
}

// Bool is true or false.
func Bool[Into any](place func(*Into) *bool) Type[Into] {
	return Type[Into]{Name: "flag", store: func(into *Into, value gjson.Result) error {
		if !value.IsBool() {
			return typeError("true or false", value)
		}
		*place(into) = value.Bool()
		return nil
	}}
}

// Int is an integer of 0 or more.
func Int[Into any](place func(*Into) *int) Type[Into] {
	return Type[Into]{Name: "whole number", store: func(into *Into, value gjson.Result) error {
		if !isNonNegative(value) || value.Num != math.Trunc(value.Num) || value.Num > maxExactInteger {
			return typeError("a whole number of 0 or more", value)
		}
		*place(into) = int(value.Num)
		return nil
	}}
}

// Uint64 is an integer of 0 or more with all 64 bits.
func Uint64[Into any](place func(*Into) *uint64) Type[Into] {
	return Type[Into]{Name: "whole number", store: func(into *Into, value gjson.Result) error {
		if value.Type != gjson.Number {
			return typeError("a whole number of 0 or more", value)
		}
		number, err := strconv.ParseUint(value.Raw, 10, 64)
		if err == nil {
			*place(into) = number
			return nil
		}
		if !isNonNegative(value) || value.Num != math.Trunc(value.Num) || value.Num > maxExactInteger {
			return typeError("a whole number of 0 or more", value)
		}
		*place(into) = uint64(value.Num)
		return nil
	}}
}

// Float64 is a number of 0 or more.
func Float64[Into any](place func(*Into) *float64) Type[Into] {
	return Type[Into]{Name: "number", store: func(into *Into, value gjson.Result) error {
		if !isNonNegative(value) {
			return typeError("a number of 0 or more", value)
		}
		*place(into) = value.Num
		return nil
	}}
}

// Duration is a time of 0 or more, written as a number of units.
func Duration[Into any](unit time.Duration, place func(*Into) *time.Duration) Type[Into] {
	return Type[Into]{Name: "time", store: func(into *Into, value gjson.Result) error {
		if !isNonNegative(value) {
			return typeError("a number of 0 or more", value)
		}
		*place(into) = time.Duration(min(value.Num*float64(unit), float64(maxDuration)))
		return nil
	}}
}

// Object is an object with a table of its own.
func Object[Into, Inner any](table Table[Inner], place func(*Into) *Inner) Type[Into] {
	checkSize(table)
	return Type[Into]{Name: "object", store: func(into *Into, value gjson.Result) error {
		if !value.IsObject() {
			return typeError("an object", value)
		}
		return table.parseObject(value, place(into))
	}}
}

// OptionalObject is an object with a table of its own that may be missing.
func OptionalObject[Into, Inner any](table Table[Inner], place func(*Into) **Inner) Type[Into] {
	checkSize(table)
	return Type[Into]{Name: "object", store: func(into *Into, value gjson.Result) error {
		if !value.IsObject() {
			return typeError("an object", value)
		}
		inner := new(Inner)
		*place(into) = inner
		return table.parseObject(value, inner)
	}}
}

// ObjectList is a list of objects with a table of their own. Errors name an object by its place in the list and, where
// it has one, by its field label.
func ObjectList[Into, Inner any](table Table[Inner], label string, place func(*Into) *[]Inner) Type[Into] {
	checkSize(table)
	return Type[Into]{Name: "list of objects", store: func(into *Into, value gjson.Result) error {
		if !value.IsArray() {
			return typeError("a list of objects", value)
		}
		var failed error
		list := make([]Inner, 0, initialListCapacity)
		value.ForEach(func(_, item gjson.Result) bool {
			var inner Inner
			if failed = parseItem(table, item, &inner); failed != nil {
				failed = wrapFieldError(itemName(len(list), item, label), failed)
				return false
			}
			list = append(list, inner)
			return true
		})
		*place(into) = list
		return failed
	}}
}

func parseItem[Inner any](table Table[Inner], item gjson.Result, inner *Inner) error {
	if !item.IsObject() {
		return typeError("an object", item)
	}
	return table.parseObject(item, inner)
}

// Raw is any JSON; the function stores it and returns what is wrong with it.
func Raw[Into any](store func(into *Into, value gjson.Result) error) Type[Into] {
	return Type[Into]{Name: "JSON", store: store}
}

func checkSize[Into any](table Table[Into]) {
	if len(table) > maxFields {
		panic("table with too many settings")
	}
}

func isNonNegative(value gjson.Result) bool {
	return value.Type == gjson.Number && value.Num >= 0 && !math.IsInf(value.Num, 0)
}

func itemName(index int, item gjson.Result, label string) string {
	if label == "" || !item.IsObject() {
		return fmt.Sprintf("[%d]", index)
	}
	if name := item.Get(label); name.Type == gjson.String {
		return fmt.Sprintf("[%d] %q", index, excerpt(name.Str))
	}
	return fmt.Sprintf("[%d]", index)
}

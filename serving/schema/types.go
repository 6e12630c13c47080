package schema

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"
)

const (
	// maxExactInteger is 2^53: a float64 represents every integer up to it exactly.
	maxExactInteger = 1 << 53
	// initialListCapacity is the capacity that a list of objects has at first.
	initialListCapacity = 4
	// maxDuration is the value to which longer durations are reduced.
	maxDuration = 1000 * time.Hour
)

// typeError returns the error for a value that isn't of the field's type.
func typeError(wanted string, value gjson.Result) error {
	return &fieldError{problem: "must be " + wanted + ", found " + excerpt(value.Raw)}
}

// String is the type of a string.
func String[Target any](field func(*Target) *string) Type[Target] {
	return Type[Target]{store: func(target *Target, value gjson.Result) error {
		if value.Type != gjson.String {
			return typeError("a string", value)
		}
		*field(target) = strings.Clone(value.Str) // don't retain the document
		return nil
	}}
}

// Strings is the type of a list of strings.
func Strings[Target any](field func(*Target) *[]string) Type[Target] {
	return Type[Target]{store: func(target *Target, value gjson.Result) error {
		if !value.IsArray() {
			return typeError("a list of strings", value)
		}
		var list []string
		for _, item := range value.Array() {
			if item.Type != gjson.String {
				return typeError("a list of strings", value)
			}
			list = append(list, strings.Clone(item.Str))
		}
		*field(target) = list
		return nil
	}}
}

// Enum is the type of a string that names one of the values.
func Enum[Target, Value any](values map[string]Value, field func(*Target) *Value) Type[Target] {
	return Type[Target]{store: func(target *Target, value gjson.Result) error {
		named, isKnown := values[value.Str]
		if value.Type != gjson.String || !isKnown {
			return typeError("a known value", value)
		}
		*field(target) = named
		return nil
	}}
}

// Bool is the type of true or false.
func Bool[Target any](field func(*Target) *bool) Type[Target] {
	return Type[Target]{store: func(target *Target, value gjson.Result) error {
		if !value.IsBool() {
			return typeError("true or false", value)
		}
		*field(target) = value.Bool()
		return nil
	}}
}

// Int is the type of a non-negative integer up to 2^53.
func Int[Target any](field func(*Target) *int) Type[Target] {
	return Type[Target]{store: func(target *Target, value gjson.Result) error {
		if !isExactInteger(value) {
			return typeError("a non-negative integer", value)
		}
		*field(target) = int(value.Num)
		return nil
	}}
}

// Uint64 is the type of a non-negative integer of up to 64 bits. An integer in floating-point notation, such as 1e3, is
// accepted up to 2^53.
func Uint64[Target any](field func(*Target) *uint64) Type[Target] {
	return Type[Target]{store: func(target *Target, value gjson.Result) error {
		if value.Type != gjson.Number {
			return typeError("a non-negative integer", value)
		}
		number, err := strconv.ParseUint(value.Raw, 10, 64)
		if err == nil {
			*field(target) = number
			return nil
		}
		if !isExactInteger(value) {
			return typeError("a non-negative integer", value)
		}
		*field(target) = uint64(value.Num)
		return nil
	}}
}

// Float64 is the type of a non-negative number.
func Float64[Target any](field func(*Target) *float64) Type[Target] {
	return Type[Target]{store: func(target *Target, value gjson.Result) error {
		if !isNonNegative(value) {
			return typeError("a non-negative number", value)
		}
		*field(target) = value.Num
		return nil
	}}
}

// Duration is the type of a non-negative duration, given as a number of units. A duration above 1000 hours becomes 1000
// hours.
func Duration[Target any](unit time.Duration, field func(*Target) *time.Duration) Type[Target] {
	return Type[Target]{store: func(target *Target, value gjson.Result) error {
		if !isNonNegative(value) {
			return typeError("a non-negative number", value)
		}
		*field(target) = time.Duration(min(value.Num*float64(unit), float64(maxDuration)))
		return nil
	}}
}

// Object is the type of an object with its own table.
func Object[Target, Inner any](table Table[Inner], field func(*Target) *Inner) Type[Target] {
	requireSize(table)
	return Type[Target]{store: func(target *Target, value gjson.Result) error {
		return parseInner(table, value, field(target))
	}}
}

// OptionalObject is the type of an object with its own table; the pointer stays nil if the field is missing.
func OptionalObject[Target, Inner any](table Table[Inner], field func(*Target) **Inner) Type[Target] {
	requireSize(table)
	return Type[Target]{store: func(target *Target, value gjson.Result) error {
		if !value.IsObject() {
			return typeError("an object", value)
		}
		inner := new(Inner)
		*field(target) = inner
		return table.parseObject(value, inner)
	}}
}

// ObjectList is the type of a list of objects with their own table. Errors identify an object by its index and, if it
// has a string field with the name label, also by that field's value.
func ObjectList[Target, Inner any](table Table[Inner], label string, field func(*Target) *[]Inner) Type[Target] {
	requireSize(table)
	return Type[Target]{store: func(target *Target, value gjson.Result) (err error) {
		if !value.IsArray() {
			return typeError("a list of objects", value)
		}
		list := make([]Inner, 0, initialListCapacity)
		value.ForEach(func(_, item gjson.Result) bool {
			var inner Inner
			if err = parseInner(table, item, &inner); err != nil {
				err = wrapFieldError(elementPath(len(list), item, label), err)
				return false
			}
			list = append(list, inner)
			return true
		})
		*field(target) = list
		return err
	}}
}

// parseInner parses the value of a field as an object with its own table.
func parseInner[Inner any](table Table[Inner], value gjson.Result, inner *Inner) error {
	if !value.IsObject() {
		return typeError("an object", value)
	}
	return table.parseObject(value, inner)
}

// Raw is the type of any JSON value. The function store stores the value, or returns an error if it is invalid.
func Raw[Target any](store func(target *Target, value gjson.Result) error) Type[Target] {
	return Type[Target]{store: store}
}

// requireSize panics if a table has more than maxFields fields.
func requireSize[Target any](table Table[Target]) {
	if len(table) > maxFields {
		panic("table with too many fields")
	}
}

func isNonNegative(value gjson.Result) bool {
	return value.Type == gjson.Number && value.Num >= 0 && !math.IsInf(value.Num, 0)
}

func isExactInteger(value gjson.Result) bool {
	return isNonNegative(value) && value.Num == math.Trunc(value.Num) && value.Num <= maxExactInteger
}

// elementPath returns how errors name an element of a list: [index], followed by the value of its field label if it has
// one.
func elementPath(index int, item gjson.Result, label string) string {
	if label == "" || !item.IsObject() {
		return fmt.Sprintf("[%d]", index)
	}
	if name := item.Get(label); name.Type == gjson.String {
		return fmt.Sprintf("[%d] %q", index, excerpt(name.Str))
	}
	return fmt.Sprintf("[%d]", index)
}

package routing

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"
)

// Apply applies the amendment to a valid document and returns the result; for an empty document, it has the amendment's
// items alone. Replaced items keep their positions, new items are appended, and everything else stays byte for byte. The
// caller still has to validate the result with Parse.
func (a *Amendment) Apply(document []byte) []byte {
	fields := parseFields(document)
	fields.set("edition", strconv.FormatUint(a.Version, 10))
	for _, name := range amendableLists {
		if list := a.lists[name]; list != nil {
			fields.set(name, list.apply(gjson.Parse(fields.values[name])))
		}
	}
	return fields.encode()
}

// apply returns the JSON of the amended list.
func (l *listAmendment) apply(list gjson.Result) string {
	var amended []string
	replaced := make(map[string]bool)
	list.ForEach(func(_, item gjson.Result) bool {
		name := itemName(item)
		replacement, hasReplacement := l.items[name]
		switch {
		case l.removals[name]:
		case hasReplacement && replaced[name]: // a second item of the same name is dropped
		case hasReplacement:
			amended = append(amended, replacement)
			replaced[name] = true
		default:
			amended = append(amended, item.Raw)
		}
		return true
	})
	for _, name := range l.names {
		if !replaced[name] {
			amended = append(amended, l.items[name])
		}
	}
	return "[" + strings.Join(amended, ",") + "]"
}

// ChangeKind is a kind of change of an item.
type ChangeKind string

// The kinds of change.
const (
	ChangeAdd     ChangeKind = "add"
	ChangeReplace ChangeKind = "replace"
	ChangeRemove  ChangeKind = "remove"
)

// ItemChange is the change that an amendment makes to one item.
type ItemChange struct {
	Kind ChangeKind `json:"kind"`
	List string     `json:"list"`
	Name string     `json:"name"`
}

// Changes returns the changes that the amendment makes to a document. It leaves out items that the document already has in
// the same form, and removals of items that it doesn't have.
func (a *Amendment) Changes(document []byte) (changes []ItemChange) {
	fields := parseFields(document)
	for _, name := range amendableLists {
		if list := a.lists[name]; list != nil {
			changes = append(changes, list.changes(name, gjson.Parse(fields.values[name]))...)
		}
	}
	return changes
}

func (l *listAmendment) changes(listName string, list gjson.Result) (changes []ItemChange) {
	current := make(map[string]string) // JSON of the items, by name
	list.ForEach(func(_, item gjson.Result) bool {
		current[itemName(item)] = item.Raw
		return true
	})
	for _, name := range l.names {
		item, exists := current[name]
		switch {
		case !exists:
			changes = append(changes, ItemChange{Kind: ChangeAdd, List: listName, Name: name})
		case item != l.items[name]:
			changes = append(changes, ItemChange{Kind: ChangeReplace, List: listName, Name: name})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(l.removals)) {
		if _, exists := current[name]; exists {
			changes = append(changes, ItemChange{Kind: ChangeRemove, List: listName, Name: name})
		}
	}
	return changes
}

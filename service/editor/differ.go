package editor

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"celerygap.example/lib/codec"
)

// ChangeKind says what happened to an entry, a pool or one of its fields.
type ChangeKind string

// The kinds of changes.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	ChangeChanged ChangeKind = "changed"
)

// Change is one difference between two catalogues.
type Change struct {
	Subject string
	Kind    ChangeKind
	// Field is the dotted name of the field; it is empty when the entire entry or pool was added or removed.
	Field string
	From  string
	To    string
}

// String formats the change on one line.
func (c Change) String() string {
	switch {
	case c.Field == "" && c.Kind == ChangeAdded:
		return fmt.Sprintf("+ %s: %s", c.Subject, c.To)
	case c.Field == "":
		return fmt.Sprintf("- %s: %s", c.Subject, c.From)
	default:
		return fmt.Sprintf("~ %s: %s: %s -> %s", c.Subject, c.Field, orUnset(c.From), orUnset(c.To))
	}
}

func orUnset(value string) string {
	if value == "" {
		return "(unset)"
	}
	return value
}

// Diff lists the changes from one catalogue to another, in the order of their subjects and fields.
func Diff(from, to *codec.Catalogue) []Change {
	before := encodeBySubject(from)
	after := encodeBySubject(to)
	changes := []Change{}
	for _, subject := range unionKeys(before, after) {
		old, existed := before[subject]
		next, exists := after[subject]
		switch {
		case !existed:
			changes = append(changes, Change{Subject: subject, Kind: ChangeAdded, To: compact(next)})
		case !exists:
			changes = append(changes, Change{Subject: subject, Kind: ChangeRemoved, From: compact(old)})
		default:
			changes = append(changes, diffFields(subject, old, next)...)
		}
	}
	return changes
}

// FormatDiff joins changes, one on each line.
func FormatDiff(changes []Change) string {
	lines := make([]string, len(changes))
	for i, change := range changes {
		lines[i] = change.String()
	}
	return strings.Join(lines, "\n")
}

// encodeBySubject returns the JSON of each entry and pool under its subject.
func encodeBySubject(catalogue *codec.Catalogue) map[string]json.RawMessage {
	encoded := make(map[string]json.RawMessage)
	for _, entry := range catalogue.Entries {
		encoded[subject(entry)] = marshal(entry)
	}
	for _, pool := range catalogue.Pools {
		encoded[fmt.Sprintf("pool %q", pool.Name)] = marshal(pool)
	}
	return encoded
}

func diffFields(subject string, from, to json.RawMessage) []Change {
	before := make(map[string]string)
	after := make(map[string]string)
	flatten("", from, before)
	flatten("", to, after)
	changes := []Change{}
	for _, field := range unionKeys(before, after) {
		if before[field] != after[field] {
			changes = append(changes, Change{Subject: subject, Kind: ChangeChanged, Field: field, From: before[field], To: after[field]})
		}
	}
	return changes
}

// flatten collects the leaves of a JSON value under dotted names.
func flatten(name string, value json.RawMessage, into map[string]string) {
	var object map[string]json.RawMessage
	if json.Unmarshal(value, &object) != nil || object == nil {
		into[name] = compact(value)
		return
	}
	for key, child := range object {
		path := key
		if name != "" {
			path = name + "." + key
		}
		flatten(path, child, into)
	}
}

func unionKeys[V any](a, b map[string]V) []string {
	keys := make([]string, 0, len(a)+len(b))
	for key := range a {
		keys = append(keys, key)
	}
	for key := range b {
		if _, ok := a[key]; !ok {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

func compact(value json.RawMessage) string {
	var out bytes.Buffer
	if err := json.Compact(&out, value); err != nil {
		return string(value)
	}
	return out.String()
}

// marshal encodes an entry or a pool. Only a NaN or an infinity cannot be encoded; the error text then stands for the value.
func marshal(value any) json.RawMessage {
	encoded, err := json.Marshal(value)
	if err != nil {
		return json.RawMessage(fmt.Sprintf("%q", err.Error()))
	}
	return encoded
}

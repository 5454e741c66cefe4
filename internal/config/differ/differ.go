// Package differ lists the differences between two configurations for operators.
package differ

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
)

// Action is the kind of a change.
type Action string

// Kinds of changes.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
	// Reordered means that the entries common to both lists have another order, in a list
	// whose order is significant.
	Reordered Action = "reordered"
)

// Change is one difference between two configurations.
type Change struct {
	Action Action `json:"action"`
	// Subject names what changed, for instance "database group a, backend server a1".
	Subject string `json:"subject"`
	// Key is the key that changed, empty if the subject was added or removed as a whole.
	Key    string `json:"key,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the change as one line of text.
func (c Change) String() string {
	if c.Key == "" {
		return fmt.Sprintf("%s: %s", c.Subject, c.Action)
	}
	if c.Before == "" && c.After == "" {
		return fmt.Sprintf("%s: %s %s", c.Subject, c.Key, c.Action)
	}
	return fmt.Sprintf("%s: %s %s -> %s", c.Subject, c.Key, displayValue(c.Before), displayValue(c.After))
}

func displayValue(s string) string {
	if s == "" {
		return "unset"
	}
	return s
}

// secretKey is the key whose values are left out of the changes, because they are secret.
const secretKey = "verifier"

// provenanceKey is the key that is ignored, because it states from which revision a file was
// edited and configures nothing.
const provenanceKey = "edited-from"

// Diff returns the changes from a to b, in the order of the keys in the file.
func Diff(a, b declarer.File) []Change {
	var d differ
	d.diffStruct("", reflect.ValueOf(a), reflect.ValueOf(b))
	return d.changes
}

// differ collects the changes found so far.
type differ struct {
	changes []Change
}

func (d *differ) add(c Change) {
	if c.Subject == "" {
		c.Subject = "configuration"
	}
	d.changes = append(d.changes, c)
}

func (d *differ) diffStruct(subject string, a, b reflect.Value) {
	for i := range a.NumField() {
		f := a.Type().Field(i)
		k, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if k == provenanceKey {
			continue
		}
		d.diffField(subject, k, a.Field(i), b.Field(i))
	}
}

func (d *differ) diffField(subject, key string, a, b reflect.Value) {
	switch {
	case a.Kind() == reflect.Struct:
		d.diffStruct(joinSubject(subject, key), a, b)
	case a.Kind() == reflect.Slice && a.Type().Elem().Kind() == reflect.Struct:
		d.diffList(subject, key, a, b)
	default:
		d.diffValue(subject, key, a, b)
	}
}

func (d *differ) diffValue(subject, key string, a, b reflect.Value) {
	x, y := valueText(a), valueText(b)
	if x == y {
		return
	}
	c := Change{Action: Changed, Subject: subject, Key: key, Before: x, After: y}
	if key == secretKey {
		c.Before, c.After = "", ""
	}
	d.add(c)
}

// diffList compares two lists of structs, whose entries it matches by their Name.
func (d *differ) diffList(subject, key string, a, b reflect.Value) {
	x, y := entryNames(a), entryNames(b)
	for i, n := range x {
		s := joinSubject(subject, singular(key)+" "+n)
		j := slices.Index(y, n)
		if j < 0 {
			d.add(Change{Action: Removed, Subject: s})
			continue
		}
		d.diffStruct(s, a.Index(i), b.Index(j))
	}
	for _, n := range y {
		if !slices.Contains(x, n) {
			d.add(Change{Action: Added, Subject: joinSubject(subject, singular(key)+" "+n)})
		}
	}
	d.diffOrder(subject, key, common(x, y), common(y, x))
}

// diffOrder adds a change if the remaining routing rules have another order. Their order
// is significant, because the first matching rule applies.
func (d *differ) diffOrder(subject, key string, x, y []string) {
	if key != "routing-rules" || slices.Equal(x, y) {
		return
	}
	d.add(Change{
		Action:  Reordered,
		Subject: subject,
		Key:     key,
		Before:  strings.Join(x, ", "),
		After:   strings.Join(y, ", "),
	})
}

// common returns the entries of x that are also in y.
func common(x, y []string) []string {
	return slices.DeleteFunc(slices.Clone(x), func(s string) bool { return !slices.Contains(y, s) })
}

func entryNames(l reflect.Value) []string {
	var n []string
	for i := range l.Len() {
		n = append(n, l.Index(i).FieldByName("Name").String())
	}
	return n
}

func valueText(v reflect.Value) string {
	if v.Kind() == reflect.Slice {
		return strings.Join(v.Interface().([]string), ", ")
	}
	if v.IsZero() && v.Kind() == reflect.String {
		return ""
	}
	return fmt.Sprint(v.Interface())
}

// singular returns the name of one entry of the list key.
func singular(key string) string {
	return strings.ReplaceAll(strings.TrimSuffix(key, "s"), "-", " ")
}

func joinSubject(subject, s string) string {
	if subject == "" {
		return s
	}
	return subject + ", " + s
}

// Package differ tells in an operator's words what changes between two configurations.
package differ

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
)

// Action is what became of one thing.
type Action string

// Actions of a change.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
	// Reordered is a list whose order counts and whose entries are the same.
	Reordered Action = "reordered"
)

// Change is one difference between two configurations.
type Change struct {
	Action Action `json:"action"`
	// Subject names the thing, for instance "database group a, backend server a1".
	Subject string `json:"subject"`
	// Key is the key that changed, empty where the whole thing was added or removed.
	Key    string `json:"key,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	if c.Key == "" {
		return fmt.Sprintf("%s: %s", c.Subject, c.Action)
	}
	if c.Before == "" && c.After == "" {
		return fmt.Sprintf("%s: %s %s", c.Subject, c.Key, c.Action)
	}
	return fmt.Sprintf("%s: %s %s -> %s", c.Subject, c.Key, shown(c.Before), shown(c.After))
}

func shown(s string) string {
	if s == "" {
		return "unset"
	}
	return s
}

// secretKey is never shown, a change of it is only mentioned.
const secretKey = "verifier"

// provenanceKey says where a file came from and isn't part of what it sets.
const provenanceKey = "edited-from"

// Diff returns what changes from a to b, in the order of the file.
func Diff(a, b declarer.File) []Change {
	var d differ
	d.structure("", reflect.ValueOf(a), reflect.ValueOf(b))
	return d.changes
}

type differ struct {
	changes []Change
}

func (d *differ) add(c Change) {
	if c.Subject == "" {
		c.Subject = "configuration"
	}
	d.changes = append(d.changes, c)
}

func (d *differ) structure(subject string, a, b reflect.Value) {
	for i := range a.NumField() {
		f := a.Type().Field(i)
		k, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if k == provenanceKey {
			continue
		}
		d.member(subject, k, a.Field(i), b.Field(i))
	}
}

func (d *differ) member(subject, key string, a, b reflect.Value) {
	switch {
	case a.Kind() == reflect.Struct:
		d.structure(join(subject, key), a, b)
	case a.Kind() == reflect.Slice && a.Type().Elem().Kind() == reflect.Struct:
		d.list(subject, key, a, b)
	default:
		d.scalar(subject, key, a, b)
	}
}

func (d *differ) scalar(subject, key string, a, b reflect.Value) {
	x, y := text(a), text(b)
	if x == y {
		return
	}
	c := Change{Action: Changed, Subject: subject, Key: key, Before: x, After: y}
	if key == secretKey {
		c.Before, c.After = "", ""
	}
	d.add(c)
}

// list compares two lists of named things by their names.
func (d *differ) list(subject, key string, a, b reflect.Value) {
	x, y := names(a), names(b)
	for i, n := range x {
		s := join(subject, singular(key)+" "+n)
		j := slices.Index(y, n)
		if j < 0 {
			d.add(Change{Action: Removed, Subject: s})
			continue
		}
		d.structure(s, a.Index(i), b.Index(j))
	}
	for _, n := range y {
		if !slices.Contains(x, n) {
			d.add(Change{Action: Added, Subject: join(subject, singular(key)+" "+n)})
		}
	}
	d.order(subject, key, common(x, y), common(y, x))
}

// order reports a changed order of the entries that stayed; the first routing
// rule that matches counts, so their order is part of what a file sets.
func (d *differ) order(subject, key string, x, y []string) {
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

func names(l reflect.Value) []string {
	var n []string
	for i := range l.Len() {
		n = append(n, l.Index(i).FieldByName("Name").String())
	}
	return n
}

func text(v reflect.Value) string {
	if v.Kind() == reflect.Slice {
		return strings.Join(v.Interface().([]string), ", ")
	}
	if v.IsZero() && v.Kind() == reflect.String {
		return ""
	}
	return fmt.Sprint(v.Interface())
}

func singular(key string) string {
	return strings.ReplaceAll(strings.TrimSuffix(key, "s"), "-", " ")
}

func join(subject, s string) string {
	if subject == "" {
		return s
	}
	return subject + ", " + s
}

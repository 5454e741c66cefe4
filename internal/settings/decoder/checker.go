package decoder

import (
	"net"
	"net/url"
	"reflect"
	"strconv"
	"strings"
)

// rule is one entry of a check tag, for example oneof=a|b.
type rule struct {
	name     string
	argument string
}

// rules returns the rules in the check tag of f.
func rules(f reflect.StructField) []rule {
	t := f.Tag.Get("check")
	if t == "" {
		return nil
	}
	var l []rule
	for s := range strings.SplitSeq(t, ",") {
		n, a, _ := strings.Cut(s, "=")
		l = append(l, rule{name: n, argument: a})
	}
	return l
}

// checkStruct applies the rules of all fields of struct v. l is the line of the struct.
func (d *decoder) checkStruct(v reflect.Value, key string, l int) {
	t := v.Type()
	for i := range t.NumField() {
		f := t.Field(i)
		k := yamlName(f)
		if k == "" {
			continue
		}
		p := join(key, k)
		at, present := d.lines[p]
		switch {
		case f.Type.Kind() == reflect.Struct:
			d.checkStructField(f, v.Field(i), p, l)
		case present:
			d.checkValue(f, v.Field(i), p, at)
		default:
			d.checkMissing(f, p, l)
		}
	}
}

// checkStructField checks a field that is a struct itself. l is the line of the enclosing struct. If
// the file sets the field, decodeStruct has already checked the fields inside it.
func (d *decoder) checkStructField(f reflect.StructField, v reflect.Value, key string, l int) {
	at, present := d.lines[key]
	if !present {
		at = l
		d.checkStruct(v, key, l)
	}
	for _, r := range rules(f) {
		d.checkPair(r, key, at)
	}
}

// checkPair checks how many of the two keys in the argument of r are set, for the rules both and one.
func (d *decoder) checkPair(r rule, key string, l int) {
	a, b, _ := strings.Cut(r.argument, "|")
	_, x := d.lines[join(key, a)]
	_, y := d.lines[join(key, b)]
	switch {
	case r.name == "both" && x != y:
		d.addFault(l, key, "one of "+a+" and "+b, "both or neither")
	case r.name == "one" && x && y:
		d.addFault(l, key, "both "+a+" and "+b, "exactly one of them")
	case r.name == "one" && !x && !y:
		d.addFault(l, key, "neither "+a+" nor "+b, "exactly one of them")
	}
}

// checkMissing reports a key that the file leaves out although it is required.
func (d *decoder) checkMissing(f reflect.StructField, key string, l int) {
	for _, r := range rules(f) {
		if r.name == "required" {
			d.addFault(l, key, "nothing", requiredType(f.Type))
		}
	}
}

// requiredType describes the value that a required key of Go type t takes.
func requiredType(t reflect.Type) string {
	if t.Kind() == reflect.Slice {
		return "a list of at least one entry"
	}
	return expectedType(t)
}

// checkValue checks a value that the file sets. A value of the wrong type isn't checked: its fault has
// already been reported, and the field has kept its default.
func (d *decoder) checkValue(f reflect.StructField, v reflect.Value, key string, l int) {
	if d.hasFault(key) {
		return
	}
	for _, r := range rules(f) {
		if e := r.check(v); e != "" {
			d.addFault(l, key, formatValue(v), e)
		}
	}
}

// hasFault reports whether key or an entry below it already has a fault.
func (d *decoder) hasFault(key string) bool {
	for _, f := range d.faults {
		if strings.HasPrefix(f.Key, key) {
			return true
		}
	}
	return false
}

// check returns a description of the value that r expects, empty if v complies with r.
func (r rule) check(v reflect.Value) string {
	if v.Kind() == reflect.Slice && r.name != "required" {
		return r.checkEach(v)
	}
	switch r.name {
	case "required":
		return checkRequired(v)
	case "positive":
		return checkPositive(v)
	case "address":
		return checkAddress(v.String())
	case "url":
		return checkURL(v.String())
	case "oneof":
		return checkOneOf(v.String(), r.argument)
	}
	return "a check that exists instead of " + r.name
}

// checkEach checks all entries of the list v and returns the first description that isn't empty.
func (r rule) checkEach(v reflect.Value) string {
	for i := range v.Len() {
		if e := r.check(v.Index(i)); e != "" {
			return "in each entry " + e
		}
	}
	return ""
}

func checkRequired(v reflect.Value) string {
	if v.IsZero() || (v.Kind() == reflect.Slice && v.Len() == 0) {
		return requiredType(v.Type()) + " that isn't empty"
	}
	return ""
}

func checkPositive(v reflect.Value) string {
	if v.Int() <= 0 {
		return expectedType(v.Type()) + ", above zero"
	}
	return ""
}

func checkAddress(s string) string {
	const e = "an address such as 10.0.0.1:5432"
	if s == "" {
		return ""
	}
	_, p, err := net.SplitHostPort(s)
	if err != nil {
		return e
	}
	if _, err := strconv.ParseUint(p, 10, 16); err != nil {
		return e
	}
	return ""
}

func checkURL(s string) string {
	u, err := url.Parse(s)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return "a URL such as http://10.0.0.9:8500"
	}
	return ""
}

func checkOneOf(s, choices string) string {
	for c := range strings.SplitSeq(choices, "|") {
		if s == c {
			return ""
		}
	}
	return "one of " + strings.ReplaceAll(choices, "|", ", ")
}

// formatValue returns v as it appears as the found value of a fault.
func formatValue(v reflect.Value) string {
	switch {
	case v.Kind() == reflect.String:
		return strconv.Quote(v.String())
	case v.Kind() == reflect.Slice:
		return "the list"
	case v.Type() == durationType:
		return v.Interface().(interface{ String() string }).String()
	}
	return strconv.FormatInt(v.Int(), 10)
}

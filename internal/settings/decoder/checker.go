package decoder

import (
	"net"
	"net/url"
	"reflect"
	"strconv"
	"strings"
)

// rule is one entry of a check tag, for instance oneof=a|b.
type rule struct {
	name     string
	argument string
}

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

// check applies the rules of each field of struct v; l is the line of the struct.
func (d *decoder) check(v reflect.Value, key string, l int) {
	t := v.Type()
	for i := range t.NumField() {
		f := t.Field(i)
		k := tag(f)
		if k == "" {
			continue
		}
		p := join(key, k)
		at, present := d.lines[p]
		switch {
		case f.Type.Kind() == reflect.Struct:
			d.checkStructure(f, v.Field(i), p, l)
		case present:
			d.apply(f, v.Field(i), p, at)
		default:
			d.missing(f, p, l)
		}
	}
}

// checkStructure checks a field that is a struct itself; l is the line of the
// struct around it. The fields of one that is present are checked already.
func (d *decoder) checkStructure(f reflect.StructField, v reflect.Value, key string, l int) {
	at, present := d.lines[key]
	if !present {
		at = l
		d.check(v, key, l)
	}
	for _, r := range rules(f) {
		d.together(r, key, at)
	}
}

// together checks how many of the keys that r names are set.
func (d *decoder) together(r rule, key string, l int) {
	a, b, _ := strings.Cut(r.argument, "|")
	_, x := d.lines[join(key, a)]
	_, y := d.lines[join(key, b)]
	switch {
	case r.name == "both" && x != y:
		d.add(l, key, "one of "+a+" and "+b, "both or neither")
	case r.name == "one" && x && y:
		d.add(l, key, "both "+a+" and "+b, "exactly one of them")
	case r.name == "one" && !x && !y:
		d.add(l, key, "neither "+a+" nor "+b, "exactly one of them")
	}
}

func (d *decoder) missing(f reflect.StructField, key string, l int) {
	for _, r := range rules(f) {
		if r.name == "required" {
			d.add(l, key, "nothing", kindOf(f.Type))
		}
	}
}

func kindOf(t reflect.Type) string {
	if t.Kind() == reflect.Slice {
		return "a list of at least one entry"
	}
	return expected(t)
}

// apply checks a value that the file sets. Where a value was of the wrong type,
// the field kept its default and that fault has been reported already.
func (d *decoder) apply(f reflect.StructField, v reflect.Value, key string, l int) {
	if d.reported(key) {
		return
	}
	for _, r := range rules(f) {
		if e := r.expects(v); e != "" {
			d.add(l, key, quote(v), e)
		}
	}
}

// reported tells whether key or an entry below it already has a fault.
func (d *decoder) reported(key string) bool {
	for _, f := range d.faults {
		if strings.HasPrefix(f.Key, key) {
			return true
		}
	}
	return false
}

// expects returns what r expects of v, empty if v meets it.
func (r rule) expects(v reflect.Value) string {
	if v.Kind() == reflect.Slice && r.name != "required" {
		return r.expectsEach(v)
	}
	switch r.name {
	case "required":
		return required(v)
	case "positive":
		return positive(v)
	case "address":
		return address(v.String())
	case "url":
		return base(v.String())
	case "oneof":
		return oneOf(v.String(), r.argument)
	}
	return "a check that exists instead of " + r.name
}

func (r rule) expectsEach(v reflect.Value) string {
	for i := range v.Len() {
		if e := r.expects(v.Index(i)); e != "" {
			return "in each entry " + e
		}
	}
	return ""
}

func required(v reflect.Value) string {
	if v.IsZero() || (v.Kind() == reflect.Slice && v.Len() == 0) {
		return kindOf(v.Type()) + " that isn't empty"
	}
	return ""
}

func positive(v reflect.Value) string {
	if v.Int() <= 0 {
		return expected(v.Type()) + ", above zero"
	}
	return ""
}

func address(s string) string {
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

func base(s string) string {
	u, err := url.Parse(s)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return "a URL such as http://10.0.0.9:8500"
	}
	return ""
}

func oneOf(s, choices string) string {
	for c := range strings.SplitSeq(choices, "|") {
		if s == c {
			return ""
		}
	}
	return "one of " + strings.ReplaceAll(choices, "|", ", ")
}

func quote(v reflect.Value) string {
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

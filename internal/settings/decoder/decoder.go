// Package decoder reads a YAML file into structs and reports all its faults at once.
package decoder

import (
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/juju/errors"
)

// Decode reads data into the struct that v points to; keys that the file
// leaves out keep their value. The returned faults are ordered by line.
//
// Fields are named by their yaml tag. The check tag holds rules, separated by
// commas: required, positive, address (host:port), url, oneof=a|b; on a
// structure both=a|b asks for both keys or neither, and one=a|b for exactly one.
func Decode(file string, data []byte, v any) (Lines, Faults) {
	d := decoder{file: file, lines: Lines{}}
	d.decode(data, reflect.ValueOf(v).Elem())
	sort.SliceStable(d.faults, func(i, j int) bool { return d.faults[i].Line < d.faults[j].Line })
	return d.lines, d.faults
}

// Lines holds the line of each key that a file sets, by the key's whole path.
type Lines map[string]int

type decoder struct {
	file   string
	lines  Lines
	faults Faults
}

func (d *decoder) decode(data []byte, v reflect.Value) {
	f, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.syntax(err)
		return
	}
	if len(f.Docs) > 1 {
		d.add(line(f.Docs[1]), "(file)", "several documents", "one YAML document")
		return
	}
	if len(f.Docs) == 0 || f.Docs[0].Body == nil {
		d.structure(nil, v, "", 1)
		return
	}
	d.structure(f.Docs[0].Body, v, "", 1)
}

// syntaxError is what the YAML library returns for a file that it can't parse.
type syntaxError interface {
	GetToken() *token.Token
	GetMessage() string
}

func (d *decoder) syntax(err error) {
	var s syntaxError
	if !errors.As(err, &s) || s.GetToken() == nil {
		d.add(1, "(file)", err.Error(), "YAML")
		return
	}
	d.add(s.GetToken().Position.Line, "(file)", s.GetMessage(), "YAML")
}

func (d *decoder) add(l int, key, found, expected string) {
	d.faults = append(d.faults, Fault{File: d.file, Line: l, Key: key, Found: found, Expected: expected})
}

func line(n ast.Node) int {
	if n == nil || n.GetToken() == nil {
		return 1
	}
	return n.GetToken().Position.Line
}

// value decodes n into v according to v's type.
func (d *decoder) value(n ast.Node, v reflect.Value, key string) {
	n = plain(n)
	switch {
	case isScalar(v.Type()):
		d.scalar(n, v, key)
	case v.Kind() == reflect.Struct:
		d.structure(n, v, key, line(n))
	case v.Kind() == reflect.Slice:
		d.sequence(n, v, key)
	default:
		d.add(line(n), key, "a key of unsupported type "+v.Type().String(), "a struct, list or scalar")
	}
}

// plain strips an anchor or tag.
func plain(n ast.Node) ast.Node {
	switch x := n.(type) {
	case *ast.AnchorNode:
		return plain(x.Value)
	case *ast.TagNode:
		return plain(x.Value)
	}
	return n
}

func (d *decoder) sequence(n ast.Node, v reflect.Value, key string) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		d.add(line(n), key, describe(n), "a list")
		return
	}
	for i, x := range s.Values {
		e := reflect.New(v.Type().Elem()).Elem()
		d.value(x, e, fmt.Sprintf("%s[%d]", key, i))
		v.Set(reflect.Append(v, e))
	}
}

// structure decodes a mapping into struct v; l is the line to blame for missing keys.
func (d *decoder) structure(n ast.Node, v reflect.Value, key string, l int) {
	m, ok := mapping(n)
	if !ok {
		d.add(l, name(key), describe(n), "a mapping of keys")
		return
	}
	for _, x := range m {
		d.member(x, v, key)
	}
	d.check(v, key, l)
}

// member decodes one key of a mapping into its field of v.
func (d *decoder) member(n *ast.MappingValueNode, v reflect.Value, key string) {
	k := n.Key.GetToken().Value
	l := line(n.Key)
	p := join(key, k)
	if first, ok := d.lines[p]; ok {
		d.add(l, p, fmt.Sprintf("the key again, first set on line %d", first), "each key once")
		return
	}
	d.lines[p] = l
	f, ok := field(v, k)
	if !ok {
		d.add(l, p, "an unknown key", "one of "+strings.Join(known(v.Type()), ", "))
		return
	}
	if plain(n.Value).Type() == ast.NullType {
		d.add(l, p, "no value", "a value, or the key left out")
		return
	}
	d.value(n.Value, f, p)
}

func mapping(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch x := n.(type) {
	case nil:
		return nil, true
	case *ast.MappingNode:
		return x.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{x}, true
	}
	return nil, false
}

func name(key string) string {
	if key == "" {
		return "(file)"
	}
	return key
}

func join(key, k string) string {
	if key == "" {
		return k
	}
	return key + "." + k
}

// field returns the field of struct v whose yaml tag is k.
func field(v reflect.Value, k string) (reflect.Value, bool) {
	t := v.Type()
	for i := range t.NumField() {
		if tag(t.Field(i)) == k {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// tag returns the yaml name of a field, empty for a field that no key sets.
func tag(f reflect.StructField) string {
	n, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if n == "-" {
		return ""
	}
	return n
}

func known(t reflect.Type) []string {
	var l []string
	for i := range t.NumField() {
		if n := tag(t.Field(i)); n != "" {
			l = append(l, n)
		}
	}
	return l
}

// Package decoder decodes a YAML file into structs and reports all its faults at once.
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

// Decode decodes data into the struct that v points to. Fields whose keys the file leaves out keep
// their values. file is the name of the file in the faults, which are ordered by line.
//
// The yaml tag of a field is its key. The check tag holds rules, separated by commas: required,
// positive, address (host:port), url, oneof=a|b. On a struct, both=a|b requires both keys or neither,
// and one=a|b exactly one of them.
func Decode(file string, data []byte, v any) (Lines, Faults) {
	d := decoder{file: file, lines: Lines{}}
	d.decode(data, reflect.ValueOf(v).Elem())
	sort.SliceStable(d.faults, func(i, j int) bool { return d.faults[i].Line < d.faults[j].Line })
	return d.lines, d.faults
}

// Lines holds the line of each key that a file sets. The map's keys are whole paths, for example
// limits.drain-timeout.
type Lines map[string]int

type decoder struct {
	file   string
	lines  Lines
	faults Faults
}

func (d *decoder) decode(data []byte, v reflect.Value) {
	f, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.addSyntaxError(err)
		return
	}
	if len(f.Docs) > 1 {
		d.addFault(line(f.Docs[1]), "(file)", "several documents", "one YAML document")
		return
	}
	if len(f.Docs) == 0 || f.Docs[0].Body == nil {
		d.decodeStruct(nil, v, "", 1)
		return
	}
	d.decodeStruct(f.Docs[0].Body, v, "", 1)
}

// syntaxError is implemented by the YAML library's errors for a file that it can't parse.
type syntaxError interface {
	GetToken() *token.Token
	GetMessage() string
}

func (d *decoder) addSyntaxError(err error) {
	var s syntaxError
	if !errors.As(err, &s) || s.GetToken() == nil {
		d.addFault(1, "(file)", err.Error(), "YAML")
		return
	}
	d.addFault(s.GetToken().Position.Line, "(file)", s.GetMessage(), "YAML")
}

func (d *decoder) addFault(l int, key, found, expected string) {
	d.faults = append(d.faults, Fault{File: d.file, Line: l, Key: key, Found: found, Expected: expected})
}

func line(n ast.Node) int {
	if n == nil || n.GetToken() == nil {
		return 1
	}
	return n.GetToken().Position.Line
}

// decodeValue decodes n into v, depending on v's type.
func (d *decoder) decodeValue(n ast.Node, v reflect.Value, key string) {
	n = unwrap(n)
	switch {
	case isScalar(v.Type()):
		d.decodeScalar(n, v, key)
	case v.Kind() == reflect.Struct:
		d.decodeStruct(n, v, key, line(n))
	case v.Kind() == reflect.Slice:
		d.decodeSlice(n, v, key)
	default:
		d.addFault(line(n), key, "a key of unsupported type "+v.Type().String(), "a struct, list or scalar")
	}
}

// unwrap returns the value of a node with an anchor or a tag, and other nodes as they are.
func unwrap(n ast.Node) ast.Node {
	switch x := n.(type) {
	case *ast.AnchorNode:
		return unwrap(x.Value)
	case *ast.TagNode:
		return unwrap(x.Value)
	}
	return n
}

func (d *decoder) decodeSlice(n ast.Node, v reflect.Value, key string) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		d.addFault(line(n), key, describe(n), "a list")
		return
	}
	for i, x := range s.Values {
		e := reflect.New(v.Type().Elem()).Elem()
		d.decodeValue(x, e, fmt.Sprintf("%s[%d]", key, i))
		v.Set(reflect.Append(v, e))
	}
}

// decodeStruct decodes a mapping into struct v. l is the line at which missing keys are reported.
func (d *decoder) decodeStruct(n ast.Node, v reflect.Value, key string, l int) {
	m, ok := mappingEntries(n)
	if !ok {
		d.addFault(l, displayName(key), describe(n), "a mapping of keys")
		return
	}
	for _, x := range m {
		d.decodeField(x, v, key)
	}
	d.checkStruct(v, key, l)
}

// decodeField decodes one entry of a mapping into the field of v that has its key.
func (d *decoder) decodeField(n *ast.MappingValueNode, v reflect.Value, key string) {
	k := n.Key.GetToken().Value
	l := line(n.Key)
	p := join(key, k)
	if first, ok := d.lines[p]; ok {
		d.addFault(l, p, fmt.Sprintf("the key again, first set on line %d", first), "each key once")
		return
	}
	d.lines[p] = l
	f, ok := field(v, k)
	if !ok {
		d.addFault(l, p, "an unknown key", "one of "+strings.Join(knownKeys(v.Type()), ", "))
		return
	}
	if unwrap(n.Value).Type() == ast.NullType {
		d.addFault(l, p, "no value", "a value, or the key left out")
		return
	}
	d.decodeValue(n.Value, f, p)
}

// mappingEntries returns the entries of a mapping, none for an empty file. It returns false for other
// nodes.
func mappingEntries(n ast.Node) ([]*ast.MappingValueNode, bool) {
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

// displayName returns the key as it appears in a fault.
func displayName(key string) string {
	if key == "" {
		return "(file)"
	}
	return key
}

// join returns the path of the key k below key.
func join(key, k string) string {
	if key == "" {
		return k
	}
	return key + "." + k
}

// field returns the field of struct v whose key is k.
func field(v reflect.Value, k string) (reflect.Value, bool) {
	t := v.Type()
	for i := range t.NumField() {
		if yamlName(t.Field(i)) == k {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// yamlName returns the key of a field, empty for a field that no key sets.
func yamlName(f reflect.StructField) string {
	n, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if n == "-" {
		return ""
	}
	return n
}

// knownKeys returns the keys of struct type t.
func knownKeys(t reflect.Type) []string {
	var l []string
	for i := range t.NumField() {
		if n := yamlName(t.Field(i)); n != "" {
			l = append(l, n)
		}
	}
	return l
}

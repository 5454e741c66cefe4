package decoder

import (
	"reflect"
	"strconv"
	"time"

	"github.com/goccy/go-yaml/ast"
)

var durationType = reflect.TypeFor[time.Duration]()

func isScalar(t reflect.Type) bool {
	switch t.Kind() {
	case reflect.String, reflect.Bool, reflect.Int, reflect.Int64, reflect.Uint64, reflect.Float64:
		return true
	}
	return false
}

func (d *decoder) decodeScalar(n ast.Node, v reflect.Value, key string) {
	s, ok := n.(ast.ScalarNode)
	if !ok {
		d.addFault(line(n), key, describe(n), expectedType(v.Type()))
		return
	}
	if !setScalar(v, s) {
		d.addFault(line(n), key, describe(n), expectedType(v.Type()))
	}
}

// setScalar sets v to a scalar. It reports false if the scalar's type doesn't fit v.
func setScalar(v reflect.Value, n ast.ScalarNode) bool {
	switch {
	case v.Type() == durationType:
		return setDuration(v, n)
	case v.Kind() == reflect.String:
		return setString(v, n)
	case v.Kind() == reflect.Bool:
		return setBool(v, n)
	case v.Kind() == reflect.Float64:
		return setFloat(v, n)
	case v.Kind() == reflect.Uint64:
		return setUint(v, n)
	}
	return setInt(v, n)
}

func setDuration(v reflect.Value, n ast.ScalarNode) bool {
	s, ok := n.GetValue().(string)
	if !ok {
		return false
	}
	x, err := time.ParseDuration(s)
	if err != nil {
		return false
	}
	v.SetInt(int64(x))
	return true
}

func setString(v reflect.Value, n ast.ScalarNode) bool {
	s, ok := n.GetValue().(string)
	if ok {
		v.SetString(s)
	}
	return ok
}

func setBool(v reflect.Value, n ast.ScalarNode) bool {
	b, ok := n.GetValue().(bool)
	if ok {
		v.SetBool(b)
	}
	return ok
}

func setFloat(v reflect.Value, n ast.ScalarNode) bool {
	switch n.(type) {
	case *ast.FloatNode, *ast.IntegerNode:
	default:
		return false
	}
	x, err := strconv.ParseFloat(n.GetToken().Value, 64)
	if err != nil {
		return false
	}
	v.SetFloat(x)
	return true
}

func setUint(v reflect.Value, n ast.ScalarNode) bool {
	x, ok := n.GetValue().(uint64)
	if ok {
		v.SetUint(x)
	}
	return ok
}

func setInt(v reflect.Value, n ast.ScalarNode) bool {
	switch x := n.GetValue().(type) {
	case uint64:
		if x > 1<<62 {
			return false
		}
		v.SetInt(int64(x))
		return true
	case int64:
		v.SetInt(x)
		return true
	}
	return false
}

// expectedType describes the value that a key of Go type t takes.
func expectedType(t reflect.Type) string {
	switch {
	case t == durationType:
		return "a duration such as 500ms, 30s or 5m"
	case t.Kind() == reflect.String:
		return "a string"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Float64:
		return "a number"
	case t.Kind() == reflect.Uint64:
		return "a whole number of zero or more"
	}
	return "a whole number"
}

// describe describes a node of the file.
func describe(n ast.Node) string {
	switch x := n.(type) {
	case nil:
		return "nothing"
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.StringNode:
		return strconv.Quote(x.Value)
	case *ast.AliasNode:
		return "an alias"
	}
	return n.GetToken().Value
}

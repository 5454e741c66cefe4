// Package describer generates the JSON schema of the configuration file that operators apply.
package describer

import (
	"encoding/json"
	"reflect"
	"time"

	"github.com/invopop/jsonschema"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
)

// durationPattern matches the durations that time.ParseDuration accepts, without a sign.
const durationPattern = `^([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$|^0$`

// Schema returns the schema as indented JSON.
func Schema() ([]byte, error) {
	r := jsonschema.Reflector{
		Mapper:         typeSchema,
		ExpandedStruct: true,
	}
	s := r.Reflect(&declarer.File{})
	s.Title = "cuminwick configuration"
	b, err := json.MarshalIndent(s, "", "  ")
	return append(b, '\n'), errors.Annotate(err, "encode schema")
}

// typeSchema returns the schema of a type whose YAML form differs from its Go form, nil for
// other types.
func typeSchema(t reflect.Type) *jsonschema.Schema {
	switch t {
	case reflect.TypeFor[time.Duration]():
		return &jsonschema.Schema{Type: "string", Pattern: durationPattern}
	case reflect.TypeFor[declarer.WhenUnconfirmed]():
		return &jsonschema.Schema{Type: "string", Enum: []any{declarer.Refuse, declarer.Serve}}
	}
	return nil
}

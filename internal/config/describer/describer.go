// Package describer generates the JSON schema of the file that operators apply.
package describer

import (
	"encoding/json"
	"reflect"
	"time"

	"github.com/invopop/jsonschema"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
)

// durationPattern is what time.ParseDuration reads, without a sign.
const durationPattern = `^([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$|^0$`

// Schema returns the schema as indented JSON.
func Schema() ([]byte, error) {
	r := jsonschema.Reflector{
		Mapper:         mapType,
		ExpandedStruct: true,
	}
	s := r.Reflect(&declarer.File{})
	s.Title = "cuminwick configuration"
	b, err := json.MarshalIndent(s, "", "  ")
	return append(b, '\n'), errors.Annotate(err, "encode schema")
}

// mapType describes the types whose YAML form isn't their Go form.
func mapType(t reflect.Type) *jsonschema.Schema {
	switch t {
	case reflect.TypeFor[time.Duration]():
		return &jsonschema.Schema{Type: "string", Pattern: durationPattern}
	case reflect.TypeFor[declarer.WhenUnconfirmed]():
		return &jsonschema.Schema{Type: "string", Enum: []any{declarer.Refuse, declarer.Serve}}
	}
	return nil
}

// Package describer generates the OpenAPI document of the administration API.
package describer

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strconv"
	"strings"

	"github.com/invopop/jsonschema"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/admin/handler"
)

// definitionsPath is the prefix of references to schemas in an OpenAPI document.
const definitionsPath = "#/components/schemas/"

// generatedPath is the prefix that the schema generator writes instead.
const generatedPath = "#/$defs/"

// Document is an OpenAPI document, with only the properties that the API needs.
type Document struct {
	OpenAPI    string              `json:"openapi"`
	Info       Info                `json:"info"`
	Paths      map[string]PathItem `json:"paths"`
	Components Components          `json:"components"`
	Security   []map[string][]any  `json:"security"`
}

// Info is the name, description and version of the API.
type Info struct {
	Title       string `json:"title"`
	Description string `json:"description"`
	Version     string `json:"version"`
}

// PathItem holds the operations of a path. The keys are HTTP methods in lower case.
type PathItem map[string]Operation

// Operation describes one route.
type Operation struct {
	Summary     string       `json:"summary"`
	Parameters  []Parameter  `json:"parameters,omitempty"`
	RequestBody *RequestBody `json:"requestBody,omitempty"`
	// Responses holds the responses by status code, and under "default" that of all other codes.
	Responses map[string]Response `json:"responses"`
}

// Parameter is one parameter of an operation.
type Parameter struct {
	Name string `json:"name"`
	// In is "path" or "query".
	In          string `json:"in"`
	Required    bool   `json:"required"`
	Description string `json:"description"`
	Schema      Schema `json:"schema"`
}

// Schema is a JSON type, or a reference to a schema in Components.
type Schema struct {
	Type  string  `json:"type,omitempty"`
	Ref   string  `json:"$ref,omitempty"`
	Items *Schema `json:"items,omitempty"`
}

// RequestBody describes the body of a request.
type RequestBody struct {
	Required bool `json:"required"`
	// Content holds the body's schema by media type, such as application/yaml.
	Content map[string]MediaType `json:"content"`
}

// Response describes the responses with one status code.
type Response struct {
	Description string `json:"description"`
	// Content holds the body's schema by media type, such as application/json.
	Content map[string]MediaType `json:"content"`
}

// MediaType describes a body in one media type.
type MediaType struct {
	Schema Schema `json:"schema"`
}

// Components holds the named schemas and security schemes that other parts of the document refer
// to.
type Components struct {
	Schemas         jsonschema.Definitions    `json:"schemas"`
	SecuritySchemes map[string]SecurityScheme `json:"securitySchemes"`
}

// SecurityScheme describes how a request is authenticated.
type SecurityScheme struct {
	Type   string `json:"type"`
	Scheme string `json:"scheme"`
}

// Describe returns the document as indented JSON.
func Describe() ([]byte, error) {
	d := Document{
		OpenAPI: "3.1.0",
		Info: Info{
			Title:       "cuminwick administration",
			Description: "The operations of the command line over HTTP and JSON.",
			Version:     "1",
		},
		Paths:    map[string]PathItem{},
		Security: []map[string][]any{{"token": {}}},
		Components: Components{
			Schemas:         jsonschema.Definitions{},
			SecuritySchemes: map[string]SecurityScheme{"token": {Type: "http", Scheme: "bearer"}},
		},
	}
	for _, r := range handler.Routes() {
		d.addRoute(r)
	}
	b, err := json.MarshalIndent(d, "", "  ")
	b = bytes.ReplaceAll(b, []byte(generatedPath), []byte(definitionsPath))
	return append(b, '\n'), errors.Annotate(err, "encode OpenAPI document")
}

// addRoute adds the operation of r and the schemas of its responses.
func (d *Document) addRoute(r handler.Route) {
	o := Operation{
		Summary: r.Summary,
		Responses: map[string]Response{
			"200":     {Description: "done", Content: d.content(r.Response)},
			"default": {Description: "refused, or the platform doesn't answer", Content: d.content(handler.Failure{})},
		},
	}
	if r.Mutates {
		for s, t := range map[int]string{
			202: "accepted, but hosts that are cut off don't decide by it yet",
			404: "nothing is staged, or the revision isn't kept",
			409: "another change came first, or it was withdrawn; nothing changed",
		} {
			o.Responses[strconv.Itoa(s)] = Response{Description: t, Content: d.content(r.Response)}
		}
	}
	for _, p := range r.Parameters {
		o.Parameters = append(o.Parameters, Parameter{
			Name: p.Name, In: p.In, Required: p.In == "path", Description: p.Summary, Schema: Schema{Type: p.Type},
		})
	}
	if r.Body != "" {
		o.RequestBody = &RequestBody{Required: true, Content: map[string]MediaType{r.Body: {Schema: Schema{Type: "string"}}}}
	}
	if d.Paths[r.Path] == nil {
		d.Paths[r.Path] = PathItem{}
	}
	d.Paths[r.Path][strings.ToLower(r.Method)] = o
}

// content describes v as JSON and adds the schemas of its types to the components.
func (d *Document) content(v any) map[string]MediaType {
	return map[string]MediaType{"application/json": {Schema: d.schema(reflect.TypeOf(v))}}
}

// schema returns the schema of t and adds the schemas of its named types to the components.
func (d *Document) schema(t reflect.Type) Schema {
	if t.Kind() == reflect.Slice {
		s := d.schema(t.Elem())
		return Schema{Type: "array", Items: &s}
	}
	r := jsonschema.Reflector{Anonymous: true, AllowAdditionalProperties: true}
	for n, s := range r.ReflectFromType(t).Definitions {
		d.Components.Schemas[n] = s
	}
	return Schema{Ref: definitionsPath + t.Name()}
}

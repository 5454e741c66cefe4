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

// definitionsPath is where the document keeps the schemas of its types.
const definitionsPath = "#/components/schemas/"

// generatedPath is where the generator believes them to be.
const generatedPath = "#/$defs/"

// Document is an OpenAPI document, as far as the API needs it.
type Document struct {
	OpenAPI    string              `json:"openapi"`
	Info       Info                `json:"info"`
	Paths      map[string]PathItem `json:"paths"`
	Components Components          `json:"components"`
	Security   []map[string][]any  `json:"security"`
}

// Info names the API.
type Info struct {
	Title       string `json:"title"`
	Description string `json:"description"`
	Version     string `json:"version"`
}

// PathItem holds the operations of a path by lower-case method.
type PathItem map[string]Operation

// Operation is one route.
type Operation struct {
	Summary     string              `json:"summary"`
	Parameters  []Parameter         `json:"parameters,omitempty"`
	RequestBody *RequestBody        `json:"requestBody,omitempty"`
	Responses   map[string]Response `json:"responses"`
}

// Parameter is one parameter of an operation.
type Parameter struct {
	Name        string `json:"name"`
	In          string `json:"in"`
	Required    bool   `json:"required"`
	Description string `json:"description"`
	Schema      Schema `json:"schema"`
}

// Schema is a type, or a reference to one.
type Schema struct {
	Type  string  `json:"type,omitempty"`
	Ref   string  `json:"$ref,omitempty"`
	Items *Schema `json:"items,omitempty"`
}

// RequestBody is a request's body.
type RequestBody struct {
	Required bool                 `json:"required"`
	Content  map[string]MediaType `json:"content"`
}

// Response is one kind of answer.
type Response struct {
	Description string               `json:"description"`
	Content     map[string]MediaType `json:"content"`
}

// MediaType is a body in one media type.
type MediaType struct {
	Schema Schema `json:"schema"`
}

// Components holds the named types and how requests are authenticated.
type Components struct {
	Schemas         jsonschema.Definitions    `json:"schemas"`
	SecuritySchemes map[string]SecurityScheme `json:"securitySchemes"`
}

// SecurityScheme says how a request is authenticated.
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
		d.add(r)
	}
	b, err := json.MarshalIndent(d, "", "  ")
	b = bytes.ReplaceAll(b, []byte(generatedPath), []byte(definitionsPath))
	return append(b, '\n'), errors.Annotate(err, "encode OpenAPI document")
}

func (d *Document) add(r handler.Route) {
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

// content describes a value's type and keeps the types that it is made of.
func (d *Document) content(v any) map[string]MediaType {
	return map[string]MediaType{"application/json": {Schema: d.schema(reflect.TypeOf(v))}}
}

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

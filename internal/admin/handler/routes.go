package handler

import (
	"net/http"

	"github.com/cuminwick/cuminwick/internal/config/applier"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/differ"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/config/follower"
	"github.com/cuminwick/cuminwick/internal/config/publisher"
	"github.com/cuminwick/cuminwick/internal/settings/decoder"
)

// MediaYAML is the media type of configuration files.
const MediaYAML = "application/yaml"

// Parameter is one parameter of a route.
type Parameter struct {
	Name string
	// In is "path" or "query".
	In string
	// Type is the JSON schema type.
	Type    string
	Summary string
}

// Route is one operation of the API.
type Route struct {
	Method string
	// Path is a pattern of http.ServeMux.
	Path    string
	Summary string
	// Mutates marks a route that requires a token for which MayChange is true.
	Mutates    bool
	Parameters []Parameter
	// Body is the media type of the request's body, empty if it has none.
	Body string
	// Response is a value of the type of the response's body.
	Response any

	serve func(request) (response, error)
}

var (
	fromParameter     = Parameter{Name: "from", In: "query", Type: "integer", Summary: "fail unless this revision is in force"}
	dryRunParameter   = Parameter{Name: "dry-run", In: "query", Type: "boolean", Summary: "answer what would change and do nothing"}
	noteParameter     = Parameter{Name: "note", In: "query", Type: "string", Summary: "kept with the revision"}
	revisionParameter = Parameter{Name: "revision", In: "path", Type: "integer", Summary: "number of the revision"}
)

// Configuration is the configuration file of a revision, with verifiers hidden.
type Configuration struct {
	Revision declarer.Revision `json:"revision"`
	// File is the file as YAML. It can be edited and sent back.
	File string `json:"file"`
}

// Findings is the result of checking a configuration file.
type Findings struct {
	Faults   decoder.Faults `json:"faults"`
	Warnings decoder.Faults `json:"warnings"`
}

// Applied is the response to a change of the configuration.
type Applied struct {
	DryRun   bool            `json:"dry-run,omitempty"`
	Changes  []differ.Change `json:"changes,omitempty"`
	Warnings decoder.Faults  `json:"warnings,omitempty"`
	// Result is nil for a dry run.
	Result *applier.Result `json:"result,omitempty"`
}

// State is the state of the deployment and of the host that serves the API.
type State struct {
	publisher.Status
	// Host is the state of that host's own configuration, nil if it isn't available.
	Host *follower.Status `json:"host,omitempty"`
}

// Routes returns all operations of the API.
func Routes() []Route {
	l := []Route{
		{
			Method: http.MethodGet, Path: "/v1/configuration",
			Summary:  "Read the configuration in force.",
			Response: Configuration{}, serve: request.readConfiguration,
		}, {
			Method: http.MethodPut, Path: "/v1/configuration", Mutates: true,
			Summary:    "Bring a configuration into force, or leave everything as it is and say why.",
			Parameters: []Parameter{fromParameter, dryRunParameter, noteParameter},
			Body:       MediaYAML, Response: Applied{}, serve: request.applyFile,
		}, {
			Method: http.MethodPost, Path: "/v1/configuration/validate",
			Summary: "Check a configuration without applying it.",
			Body:    MediaYAML, Response: Findings{}, serve: request.validate,
		}, {
			Method: http.MethodPost, Path: "/v1/configuration/resume", Mutates: true,
			Summary:  "Go on with what another operator has staged.",
			Response: Applied{}, serve: request.resume,
		}, {
			Method: http.MethodPost, Path: "/v1/configuration/withdraw", Mutates: true,
			Summary:  "Take back what is staged.",
			Response: Applied{}, serve: request.withdraw,
		}, {
			Method: http.MethodGet, Path: "/v1/revisions",
			Summary:  "List the accepted revisions that are kept, the latest first.",
			Response: []encoder.Entry{}, serve: request.history,
		}, {
			Method: http.MethodGet, Path: "/v1/revisions/{revision}",
			Summary:    "Read an earlier configuration.",
			Parameters: []Parameter{revisionParameter},
			Response:   Configuration{}, serve: request.readRevision,
		}, {
			Method: http.MethodPost, Path: "/v1/revisions/{revision}/apply", Mutates: true,
			Summary:    "Apply an earlier configuration again, as a new revision.",
			Parameters: []Parameter{revisionParameter, fromParameter, dryRunParameter, noteParameter},
			Response:   Applied{}, serve: request.applyRevision,
		}, {
			Method: http.MethodGet, Path: "/v1/status",
			Summary:  "Read which host decides by which revision.",
			Response: State{}, serve: request.status,
		},
	}
	return append(l, hostRoutes()...)
}

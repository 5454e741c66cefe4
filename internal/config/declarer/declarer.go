// Package declarer holds the structs of the file that operators apply.
package declarer

import "time"

// Revision numbers the configurations of a deployment; zero stands for none.
type Revision uint64

// File is one applied configuration, in force as a whole or not at all.
type File struct {
	DatabaseGroups []DatabaseGroup `yaml:"database-groups" json:"database-groups" check:"required"`
	RoutingRules   []RoutingRule   `yaml:"routing-rules,omitempty" json:"routing-rules,omitempty"`
	Limits         Limits          `yaml:"limits,omitempty" json:"limits,omitzero"`
	Teams          []Team          `yaml:"teams,omitempty" json:"teams,omitempty"`
	// EditedFrom is the revision that the file was made from; applying fails
	// if another one is in force by then. Unset, it isn't checked.
	EditedFrom Revision `yaml:"edited-from,omitempty" json:"edited-from,omitempty"`
}

// DatabaseGroup is one replicated database; callers name it as their database.
type DatabaseGroup struct {
	Name           string          `yaml:"name" json:"name" check:"required"`
	Service        string          `yaml:"service" json:"service" check:"required"`
	BackendServers []BackendServer `yaml:"backend-servers" json:"backend-servers" check:"required"`
}

// BackendServer is one instance of a database group.
type BackendServer struct {
	Name             string `yaml:"name" json:"name" check:"required"`
	Address          string `yaml:"address" json:"address" check:"required,address"`
	AvailabilityZone string `yaml:"availability-zone" json:"availability-zone" check:"required"`
	Region           string `yaml:"region" json:"region" check:"required"`
	// Slots is how many statements the server works on at a time.
	Slots int `yaml:"slots" json:"slots" check:"positive"`
	// Connections is how many connections the server accepts.
	Connections int `yaml:"connections" json:"connections" check:"positive"`
	// ReservedConnections of Connections are kept for probes, fencing and cut-off hosts.
	ReservedConnections int `yaml:"reserved-connections,omitempty" json:"reserved-connections,omitempty"`
}

// WhenUnconfirmed says what becomes of a read whose freshness can't be shown.
type WhenUnconfirmed string

// Choices for reads whose freshness can't be shown.
const (
	// Refuse answers that the read did not run.
	Refuse WhenUnconfirmed = "refuse"
	// Serve answers from what is reachable, with a notice that the age is unknown.
	Serve WhenUnconfirmed = "serve"
)

// RoutingRule lets the reads that it matches be served stale.
type RoutingRule struct {
	Name  string `yaml:"name" json:"name" check:"required"`
	Match Match  `yaml:"match,omitempty" json:"match,omitzero"`
	// MaximumAge is how old the data may be; zero asks for the latest.
	MaximumAge      time.Duration   `yaml:"maximum-age" json:"maximum-age"`
	WhenUnconfirmed WhenUnconfirmed `yaml:"when-unconfirmed,omitempty" json:"when-unconfirmed,omitempty" check:"oneof=refuse|serve"`
}

// Match selects requests; an empty field matches all, the first matching rule counts.
type Match struct {
	Service         string `yaml:"service,omitempty" json:"service,omitempty"`
	DatabaseGroup   string `yaml:"database-group,omitempty" json:"database-group,omitempty"`
	Role            string `yaml:"role,omitempty" json:"role,omitempty"`
	ApplicationName string `yaml:"application-name,omitempty" json:"application-name,omitempty"`
	// Tag is the value of tag= in the statement's leading comment.
	Tag string `yaml:"tag,omitempty" json:"tag,omitempty"`
}

// Limits bounds what callers may take up; zero fields take their defaults.
type Limits struct {
	// QueueLength is how many requests may wait for one backend server.
	QueueLength int `yaml:"queue-length,omitempty" json:"queue-length,omitempty"`
	// RequestTimeout ends a request whose caller declared none.
	RequestTimeout time.Duration `yaml:"request-timeout,omitempty" json:"request-timeout,omitempty"`
	// IdleInTransactionTimeout ends a transaction whose caller sends nothing.
	IdleInTransactionTimeout time.Duration `yaml:"idle-in-transaction-timeout,omitempty" json:"idle-in-transaction-timeout,omitempty"`
	// OutcomeRetention is how long the outcome of a non-repeatable request is kept.
	OutcomeRetention time.Duration `yaml:"outcome-retention,omitempty" json:"outcome-retention,omitempty"`
	// RetryShare is the largest part of the traffic that may be retries, 0 to 1.
	RetryShare float64 `yaml:"retry-share,omitempty" json:"retry-share,omitempty"`
}

// Team is one customer of the platform.
type Team struct {
	Name string `yaml:"name" json:"name" check:"required"`
	// Share weighs the team against others in a full queue, 1 if unset.
	Share int `yaml:"share,omitempty" json:"share,omitempty"`
	// RequestLimit bounds the team's requests in progress at one entry host, none if unset.
	RequestLimit int `yaml:"request-limit,omitempty" json:"request-limit,omitempty"`
	// DatabaseGroups are the groups that the team's roles may reach and its operators change.
	DatabaseGroups []string `yaml:"database-groups" json:"database-groups" check:"required"`
	Roles          []Role   `yaml:"roles" json:"roles" check:"required"`
}

// Role is one database user that callers authenticate as.
type Role struct {
	Name string `yaml:"name" json:"name" check:"required"`
	// Verifier is the role's SCRAM-SHA-256 verifier in PostgreSQL's form.
	Verifier string `yaml:"verifier" json:"verifier" check:"required"`
}

// Package declarer defines the structs of the configuration file that operators apply.
package declarer

import "time"

// Revision is the number of a configuration of the deployment; zero stands for none.
type Revision uint64

// File is one configuration; it is in force as a whole or not at all.
type File struct {
	DatabaseGroups []DatabaseGroup `yaml:"database-groups" json:"database-groups" check:"required"`
	RoutingRules   []RoutingRule   `yaml:"routing-rules,omitempty" json:"routing-rules,omitempty"`
	Limits         Limits          `yaml:"limits,omitempty" json:"limits,omitzero"`
	Teams          []Team          `yaml:"teams,omitempty" json:"teams,omitempty"`
	// EditedFrom is the revision from which the file was edited; applying the file fails if
	// another revision is in force. It isn't checked if unset.
	EditedFrom Revision `yaml:"edited-from,omitempty" json:"edited-from,omitempty"`
}

// DatabaseGroup is one replicated database. Callers connect to it by using its name as
// the database name.
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
	// Slots is the number of statements that run on the server at the same time.
	Slots int `yaml:"slots" json:"slots" check:"positive"`
	// Connections is the number of connections that the server accepts.
	Connections int `yaml:"connections" json:"connections" check:"positive"`
	// ReservedConnections is the number of Connections reserved for probes, fencing and
	// entry hosts that can't reach the owner of the server's connection pool.
	ReservedConnections int `yaml:"reserved-connections,omitempty" json:"reserved-connections,omitempty"`
}

// WhenUnconfirmed is the handling of a read for which the age of the data can't be confirmed.
type WhenUnconfirmed string

// Values of WhenUnconfirmed.
const (
	// Refuse answers with an error stating that the read did not run.
	Refuse WhenUnconfirmed = "refuse"
	// Serve reads from a reachable server, with a notice that the age of the data is unknown.
	Serve WhenUnconfirmed = "serve"
)

// RoutingRule allows stale data for the reads that it matches. The first matching rule applies.
type RoutingRule struct {
	Name  string `yaml:"name" json:"name" check:"required"`
	Match Match  `yaml:"match,omitempty" json:"match,omitzero"`
	// MaximumAge is the maximum age of the data; zero requires the latest data.
	MaximumAge      time.Duration   `yaml:"maximum-age" json:"maximum-age"`
	WhenUnconfirmed WhenUnconfirmed `yaml:"when-unconfirmed,omitempty" json:"when-unconfirmed,omitempty" check:"oneof=refuse|serve"`
}

// Match selects requests; an empty field matches all values.
type Match struct {
	Service         string `yaml:"service,omitempty" json:"service,omitempty"`
	DatabaseGroup   string `yaml:"database-group,omitempty" json:"database-group,omitempty"`
	Role            string `yaml:"role,omitempty" json:"role,omitempty"`
	ApplicationName string `yaml:"application-name,omitempty" json:"application-name,omitempty"`
	// Tag is the value of tag= in the leading comment of the statement.
	Tag string `yaml:"tag,omitempty" json:"tag,omitempty"`
}

// Limits bounds the resources that callers may use; zero fields get the defaults of package
// defaulter.
type Limits struct {
	// QueueLength is the maximum number of requests waiting for one backend server.
	QueueLength int `yaml:"queue-length,omitempty" json:"queue-length,omitempty"`
	// RequestTimeout is the timeout of a request whose caller declared none.
	RequestTimeout time.Duration `yaml:"request-timeout,omitempty" json:"request-timeout,omitempty"`
	// IdleInTransactionTimeout is the time after which a transaction is ended if its
	// caller sends nothing.
	IdleInTransactionTimeout time.Duration `yaml:"idle-in-transaction-timeout,omitempty" json:"idle-in-transaction-timeout,omitempty"`
	// OutcomeRetention is how long the outcome of a non-repeatable request is kept.
	OutcomeRetention time.Duration `yaml:"outcome-retention,omitempty" json:"outcome-retention,omitempty"`
	// RetryShare is the maximum share of retries in the traffic, from 0 to 1.
	RetryShare float64 `yaml:"retry-share,omitempty" json:"retry-share,omitempty"`
}

// Team is one customer of the platform.
type Team struct {
	Name string `yaml:"name" json:"name" check:"required"`
	// Share is the weight of the team relative to others in a full queue, 1 if unset.
	Share int `yaml:"share,omitempty" json:"share,omitempty"`
	// RequestLimit is the maximum number of the team's requests in progress at one entry
	// host, unlimited if unset.
	RequestLimit int `yaml:"request-limit,omitempty" json:"request-limit,omitempty"`
	// DatabaseGroups are the names of the groups that the team's roles may access and its
	// operators may change.
	DatabaseGroups []string `yaml:"database-groups" json:"database-groups" check:"required"`
	Roles          []Role   `yaml:"roles" json:"roles" check:"required"`
}

// Role is one database user as which callers authenticate.
type Role struct {
	Name string `yaml:"name" json:"name" check:"required"`
	// Verifier is the role's SCRAM-SHA-256 verifier in PostgreSQL's format.
	Verifier string `yaml:"verifier" json:"verifier" check:"required"`
}

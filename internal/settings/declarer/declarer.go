// Package declarer holds the structs of an entry host's settings file.
package declarer

import "time"

// Settings is what one entry host reads from its settings file when it starts.
type Settings struct {
	// HostName is unique among the entry hosts of a deployment.
	HostName string `yaml:"host-name" check:"required"`
	// Incarnation tells this start of the host from earlier ones; zero derives
	// it from the time of the start.
	Incarnation      uint64 `yaml:"incarnation"`
	Region           string `yaml:"region" check:"required"`
	AvailabilityZone string `yaml:"availability-zone" check:"required"`
	// DeploymentID is equal on all entry hosts that serve together, and
	// separates them from other deployments on the same platform.
	DeploymentID string `yaml:"deployment-id" check:"required"`

	Callers        Callers        `yaml:"callers" check:"both=certificate-file|key-file"`
	Peers          Peers          `yaml:"peers"`
	Administration Administration `yaml:"administration" check:"both=certificate-file|key-file"`
	Platform       Platform       `yaml:"platform"`
	Backend        Backend        `yaml:"backend" check:"one=password-file|password-environment"`
	// MarkKeys sign the marks that sessions carry; the first one signs, all verify.
	MarkKeys []MarkKey `yaml:"mark-keys" check:"required"`
	Log      Log       `yaml:"log"`
	Limits   Limits    `yaml:"limits"`
}

// Callers says where PostgreSQL clients connect.
type Callers struct {
	// Address is the TCP address to listen on.
	Address string `yaml:"address" check:"required,address"`
	// CertificateFile and KeyFile offer TLS; without them callers connect in the clear.
	CertificateFile string `yaml:"certificate-file"`
	KeyFile         string `yaml:"key-file"`
}

// Peers says how entry hosts reach each other over QUIC.
type Peers struct {
	// Address is the UDP address to listen on.
	Address string `yaml:"address" check:"required,address"`
	// AdvertisedAddress is what other entry hosts dial, Address if unset.
	AdvertisedAddress string `yaml:"advertised-address" check:"address"`
	// AuthorityFile, CertificateFile and KeyFile are the parts of mutual TLS.
	AuthorityFile   string `yaml:"authority-file" check:"required"`
	CertificateFile string `yaml:"certificate-file" check:"required"`
	KeyFile         string `yaml:"key-file" check:"required"`
	// Seeds are addresses of peers to ask when the platform doesn't answer.
	Seeds []string `yaml:"seeds" check:"address"`
	// ServingHosts is how many entry hosts poll each backend server, the owner of
	// its pool and those next in its availability zone; all others ask them.
	ServingHosts int `yaml:"serving-hosts" check:"positive"`
}

// Administration says where metrics, health checks and the administration API are served.
type Administration struct {
	// Address is the TCP address to listen on.
	Address string `yaml:"address" check:"required,address"`
	// CertificateFile and KeyFile serve HTTPS; without them it is plain HTTP.
	CertificateFile string `yaml:"certificate-file"`
	KeyFile         string `yaml:"key-file"`
	// TokensFile holds the tokens of operators; without it the API is read-only.
	TokensFile string `yaml:"tokens-file"`
}

// Platform says where the object service and the host list are.
type Platform struct {
	// Address is the base URL, for instance http://10.0.0.9:8500.
	Address string `yaml:"address" check:"required,url"`
	// Timeout ends a call other than a watch.
	Timeout time.Duration `yaml:"timeout" check:"positive"`
	// TokenFile holds the credential shown to the platform, none if unset.
	TokenFile string `yaml:"token-file"`
}

// Backend says how this host logs in to backend servers.
type Backend struct {
	User string `yaml:"user" check:"required"`
	// PasswordFile or PasswordEnvironment names where the password is read from.
	PasswordFile        string `yaml:"password-file"`
	PasswordEnvironment string `yaml:"password-environment"`
	// Password is filled in by the loader and is no key of the file.
	Password string `yaml:"-"`
}

// MarkKey is one key that signs or verifies session marks.
type MarkKey struct {
	ID   string `yaml:"id" check:"required"`
	File string `yaml:"file" check:"required"`
	// Key is filled in by the loader and is no key of the file.
	Key []byte `yaml:"-"`
}

// LogLevel is the lowest level that is written.
type LogLevel string

// Log levels.
const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogWarn  LogLevel = "warn"
	LogError LogLevel = "error"
)

// Log says what is logged.
type Log struct {
	Level LogLevel `yaml:"level" check:"oneof=debug|info|warn|error"`
	// SampleDebug writes one debug line in so many.
	SampleDebug int `yaml:"sample-debug" check:"positive"`
	// SampleDecisions writes one routing line in so many; refusals and
	// requests with an error are always written.
	SampleDecisions int `yaml:"sample-decisions" check:"positive"`
	// QueueBytes bounds the lines that wait to be written; more are dropped and counted.
	QueueBytes int `yaml:"queue-bytes" check:"positive"`
}

// Limits bounds what one entry host takes on.
type Limits struct {
	// CallerConnections is how many callers may be connected.
	CallerConnections int `yaml:"caller-connections" check:"positive"`
	// HandshakeTimeout ends a connection that hasn't authenticated by then.
	HandshakeTimeout time.Duration `yaml:"handshake-timeout" check:"positive"`
	// MessageBytes is the largest message a caller may send.
	MessageBytes int `yaml:"message-bytes" check:"positive"`
	// WriteTimeout ends a connection whose caller doesn't read.
	WriteTimeout time.Duration `yaml:"write-timeout" check:"positive"`
	// RequestTimeout ends a request whose caller declared none.
	RequestTimeout time.Duration `yaml:"request-timeout" check:"positive"`
	// DrainTimeout is the declared time within which a stop lets transactions finish.
	DrainTimeout time.Duration `yaml:"drain-timeout" check:"positive"`
	// QueueLength is how many requests may wait for one backend server.
	QueueLength int `yaml:"queue-length" check:"positive"`
	// ConnectTimeout ends an attempt to connect to a backend server or peer.
	ConnectTimeout time.Duration `yaml:"connect-timeout" check:"positive"`
	// FailedLogins is how many failed logins a minute one caller address may make.
	FailedLogins int `yaml:"failed-logins" check:"positive"`
	// PeerStreams is how many forwarded transactions one peer may have open here.
	PeerStreams int `yaml:"peer-streams" check:"positive"`
}

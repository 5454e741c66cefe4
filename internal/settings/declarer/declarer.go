// Package declarer declares the structs of an entry host's settings file.
package declarer

import "time"

// Settings are the settings of one entry host, which it reads from its settings file at the start.
type Settings struct {
	// HostName is unique among the entry hosts of a deployment.
	HostName string `yaml:"host-name" check:"required"`
	// Incarnation distinguishes this start of the host from earlier ones. If it is zero, it is
	// derived from the time of the start.
	Incarnation      uint64 `yaml:"incarnation"`
	Region           string `yaml:"region" check:"required"`
	AvailabilityZone string `yaml:"availability-zone" check:"required"`
	// DeploymentID is the same on all entry hosts of a deployment. It separates them from other
	// deployments on the same platform.
	DeploymentID string `yaml:"deployment-id" check:"required"`

	Callers        Callers        `yaml:"callers" check:"both=certificate-file|key-file"`
	Peers          Peers          `yaml:"peers"`
	Administration Administration `yaml:"administration" check:"both=certificate-file|key-file"`
	Platform       Platform       `yaml:"platform"`
	Backend        Backend        `yaml:"backend" check:"one=password-file|password-environment"`
	// MarkKeys are the keys for session marks. The first one signs, all of them verify.
	MarkKeys []MarkKey `yaml:"mark-keys" check:"required"`
	Log      Log       `yaml:"log"`
	Limits   Limits    `yaml:"limits"`
}

// Callers holds the settings of the address that PostgreSQL clients connect to.
type Callers struct {
	// Address is the TCP address to listen on.
	Address string `yaml:"address" check:"required,address"`
	// CertificateFile and KeyFile enable TLS. Without them, callers connect without encryption.
	CertificateFile string `yaml:"certificate-file"`
	KeyFile         string `yaml:"key-file"`
}

// Peers holds the settings of the QUIC connections between entry hosts.
type Peers struct {
	// Address is the UDP address to listen on.
	Address string `yaml:"address" check:"required,address"`
	// AdvertisedAddress is the address that other entry hosts dial, Address if it is empty.
	AdvertisedAddress string `yaml:"advertised-address" check:"address"`
	// AuthorityFile, CertificateFile and KeyFile are the PEM files of mutual TLS: the authority that
	// signs the certificates of entry hosts, and this host's certificate and key.
	AuthorityFile   string `yaml:"authority-file" check:"required"`
	CertificateFile string `yaml:"certificate-file" check:"required"`
	KeyFile         string `yaml:"key-file" check:"required"`
	// Seeds are addresses of peers that this host contacts if the platform doesn't answer at the start.
	Seeds []string `yaml:"seeds" check:"address"`
	// ServingHosts is the number of entry hosts that poll each backend server: the owner of its pool
	// and the next hosts in its availability zone. All other hosts get the server's state from them.
	ServingHosts int `yaml:"serving-hosts" check:"positive"`
}

// Administration holds the settings of the address that serves metrics, health checks and the
// administration API.
type Administration struct {
	// Address is the TCP address to listen on.
	Address string `yaml:"address" check:"required,address"`
	// CertificateFile and KeyFile enable HTTPS. Without them, the address serves plain HTTP.
	CertificateFile string `yaml:"certificate-file"`
	KeyFile         string `yaml:"key-file"`
	// TokensFile holds the hashes of operators' tokens. Without it, the API refuses all
	// requests.
	TokensFile string `yaml:"tokens-file"`
}

// Platform holds the settings of the platform, which has the object service and the host list.
type Platform struct {
	// Address is the base URL, for example http://10.0.0.9:8500.
	Address string `yaml:"address" check:"required,url"`
	// Timeout bounds each call except for a watch.
	Timeout time.Duration `yaml:"timeout" check:"positive"`
	// TokenFile holds the token that is sent to the platform. If it is empty, none is sent.
	TokenFile string `yaml:"token-file"`
}

// Backend holds the credentials for backend servers.
type Backend struct {
	User string `yaml:"user" check:"required"`
	// PasswordFile or PasswordEnvironment names the file or the environment variable that holds the
	// password. Exactly one of them is set.
	PasswordFile        string `yaml:"password-file"`
	PasswordEnvironment string `yaml:"password-environment"`
	// Password is set by the loader. The settings file has no key for it.
	Password string `yaml:"-"`
}

// MarkKey is a key that signs or verifies session marks.
type MarkKey struct {
	// ID is stored in each signed token and selects the key that verifies it.
	ID   string `yaml:"id" check:"required"`
	File string `yaml:"file" check:"required"`
	// Key is the content of File without surrounding white space, set by the loader. The settings file
	// has no key for it.
	Key []byte `yaml:"-"`
}

// LogLevel is the minimum level of the log lines that are written.
type LogLevel string

// Log levels.
const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogWarn  LogLevel = "warn"
	LogError LogLevel = "error"
)

// Log holds the settings of the log.
type Log struct {
	Level LogLevel `yaml:"level" check:"oneof=debug|info|warn|error"`
	// SampleDebug is n if one in n debug lines is written; 1 writes all of them.
	SampleDebug int `yaml:"sample-debug" check:"positive"`
	// SampleDecisions is n if one in n routing decisions is written. Refusals and requests with an
	// error are always written.
	SampleDecisions int `yaml:"sample-decisions" check:"positive"`
	// QueueBytes bounds the lines that wait to be written. Lines beyond it are dropped and counted.
	QueueBytes int `yaml:"queue-bytes" check:"positive"`
}

// Limits holds the limits and timeouts of one entry host.
type Limits struct {
	// CallerConnections is the maximum number of connected callers.
	CallerConnections int `yaml:"caller-connections" check:"positive"`
	// HandshakeTimeout is the time within which a connection must be authenticated.
	HandshakeTimeout time.Duration `yaml:"handshake-timeout" check:"positive"`
	// MessageBytes is the maximum size of a caller's message.
	MessageBytes int `yaml:"message-bytes" check:"positive"`
	// WriteTimeout bounds a write to a caller. It ends the connection of a caller that doesn't read.
	WriteTimeout time.Duration `yaml:"write-timeout" check:"positive"`
	// RequestTimeout bounds a request, unless the configuration sets another limit. A
	// statement_timeout of the caller's can only shorten it.
	RequestTimeout time.Duration `yaml:"request-timeout" check:"positive"`
	// DrainTimeout is the time that transactions have to finish when the host stops.
	DrainTimeout time.Duration `yaml:"drain-timeout" check:"positive"`
	// QueueLength is the maximum number of requests that wait for one backend server.
	QueueLength int `yaml:"queue-length" check:"positive"`
	// ConnectTimeout bounds an attempt to connect to a backend server or a peer.
	ConnectTimeout time.Duration `yaml:"connect-timeout" check:"positive"`
	// FailedLogins is the maximum number of failed logins from one address in a minute.
	FailedLogins int `yaml:"failed-logins" check:"positive"`
	// PeerStreams is the maximum number of forwarded transactions that one peer may have open at this
	// host.
	PeerStreams int `yaml:"peer-streams" check:"positive"`
}

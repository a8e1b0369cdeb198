// Package settings holds the settings of one tillerd process: who it is, where
// it listens, where the platform stands, and the constants of its policies.
//
// What is the same in the whole fleet (organisations, keys, models, services)
// is not here: operators publish it through the platform's log, see fleetdir.
package settings

import (
	"time"

	"merlintiller/internal/coordination/admission"
	"merlintiller/internal/coordination/headroom"
	"merlintiller/internal/coordination/limiter"
	"merlintiller/internal/protocol"
)

// Settings is the content of the settings file. Default gives the values of
// fields that the file leaves out.
type Settings struct {
	// Instance names this process among all entry instances. A restarted
	// process keeps the name.
	Instance protocol.InstanceID `yaml:"instance"`
	// Domain is the failure domain that the process stands in.
	Domain protocol.Domain `yaml:"domain"`
	// Listen holds the addresses that this process listens on.
	Listen Listen `yaml:"listen"`
	// Seeds are peer addresses of some other instances. They are asked for the
	// state when this one starts while the log is down. May be empty.
	Seeds []string `yaml:"seeds"`
	// Platform says where the platform's services stand.
	Platform Platform `yaml:"platform"`
	// TLS holds the certificate files.
	TLS TLS `yaml:"tls"`
	// OperatorKeys may use the operators' calls. They are kept apart from
	// callers' keys, which stand in the fleet configuration.
	OperatorKeys []OperatorKey `yaml:"operator_keys"`
	// Limits bound what a caller can make the process spend.
	Limits Limits `yaml:"limits"`
	// Timings are the periods and timeouts of the process's duties.
	Timings Timings `yaml:"timings"`
	// Batch holds the constants of batch jobs.
	Batch Batch `yaml:"batch"`
	// Calls holds the constants of online calls.
	Calls Calls `yaml:"calls"`
	// Routing holds the constants of choosing targets.
	Routing Routing `yaml:"routing"`
	// Limiter holds the constants of organisations' rates.
	Limiter limiter.Settings `yaml:"limiter"`
	// Admission holds the constants of the queues of online calls.
	Admission admission.Settings `yaml:"admission"`
	// Headroom holds the constants of the batch windows at targets.
	Headroom headroom.Settings `yaml:"headroom"`
	// Log says what is logged and how.
	Log Log `yaml:"log"`
}

// Listen holds addresses as "ip:port". Other processes are told the same
// addresses, so the IP number must be one that they can reach.
type Listen struct {
	// Callers is the address of the callers' HTTP API.
	Callers string `yaml:"callers"`
	// Peers is the address of the calls between instances.
	Peers string `yaml:"peers"`
	// Operators is the address of the operators' calls and of expvar.
	Operators string `yaml:"operators"`
}

// Platform holds the addresses of the platform's services as "ip:port".
type Platform struct {
	// Log is the append-only log service.
	Log string `yaml:"log"`
	// List is the list of live and leaving instances and targets.
	List string `yaml:"list"`
	// Weights is the weight store.
	Weights string `yaml:"weights"`
}

// TLS holds files in PEM form. They are read again when they change.
type TLS struct {
	// Callers is the certificate shown to callers.
	Callers CertFiles `yaml:"callers"`
	// Peers is the certificate shown to other instances, in both directions.
	Peers MutualFiles `yaml:"peers"`
	// Operators is the certificate shown to operators.
	Operators MutualFiles `yaml:"operators"`
	// ReloadEvery is the period of looking for changed files.
	ReloadEvery time.Duration `yaml:"reload_every"`
	// AllowPlaintext permits listeners without TLS on other addresses than
	// loopback. Keys then cross the network readable.
	AllowPlaintext bool `yaml:"allow_plaintext"`
}

// CertFiles names a certificate chain and its private key.
type CertFiles struct {
	// Cert is the file of the certificate chain.
	Cert string `yaml:"cert"`
	// Key is the file of the private key.
	Key string `yaml:"key"`
}

// MutualFiles names a certificate, its key, and the authority that the other
// side's certificate must come from.
type MutualFiles struct {
	// Cert is the file of the certificate chain.
	Cert string `yaml:"cert"`
	// Key is the file of the private key.
	Key string `yaml:"key"`
	// CA is the file of the authorities whose certificates are accepted.
	CA string `yaml:"ca"`
}

// OperatorKey lets an operator use the operators' calls.
type OperatorKey struct {
	// ID names the operator in logs and in the history of changes.
	ID string `yaml:"id"`
	// SHA256 is the lower-case hexadecimal hash of the operator's secret.
	SHA256 string `yaml:"sha256"`
}

// Limits bound what one caller or connection can make the process spend.
type Limits struct {
	// BodyBytes is the largest body of an online call, in bytes.
	BodyBytes int64 `yaml:"body_bytes"`
	// BufferedBytes is what the bodies of all online calls in flight may take
	// of the memory together, in bytes. Calls beyond it are refused.
	BufferedBytes int64 `yaml:"buffered_bytes"`
	// FileBytes is the largest batch input file, in bytes.
	FileBytes int64 `yaml:"file_bytes"`
	// HeaderBytes is the largest request header, in bytes.
	HeaderBytes int `yaml:"header_bytes"`
	// Headers is the number of lines in a request header.
	Headers int `yaml:"headers"`
	// Connections is the number of callers' connections open at once.
	Connections int `yaml:"connections"`
	// HeaderTimeout ends a connection that does not send a whole header.
	HeaderTimeout time.Duration `yaml:"header_timeout"`
	// BodyTimeout ends a call whose body does not arrive whole.
	BodyTimeout time.Duration `yaml:"body_timeout"`
	// FileTimeout ends an upload that does not arrive whole.
	FileTimeout time.Duration `yaml:"file_timeout"`
	// IdleTimeout ends a connection without a call.
	IdleTimeout time.Duration `yaml:"idle_timeout"`
	// WriteTimeout ends a call whose caller stops reading, for one write.
	WriteTimeout time.Duration `yaml:"write_timeout"`
}

// Timings are periods and timeouts.
type Timings struct {
	// Renew is the period of renewing the instance's session.
	Renew time.Duration `yaml:"renew"`
	// Hold is how long after sending its last confirmed renewal an instance
	// goes on with exclusive work.
	Hold time.Duration `yaml:"hold"`
	// Expire is how long after reading the last renewal another instance may
	// end the session.
	Expire time.Duration `yaml:"expire"`
	// Stagger is the further wait of each instance that is not the first in
	// line to end another's session.
	Stagger time.Duration `yaml:"stagger"`
	// ClockDrift bounds the relative error of a monotonic clock.
	ClockDrift float64 `yaml:"clock_drift"`
	// Heartbeat is the period of the direct messages between instances.
	Heartbeat time.Duration `yaml:"heartbeat"`
	// PeerSilenceTimeout is the silence after which a peer counts as unreachable.
	PeerSilenceTimeout time.Duration `yaml:"peer_silent"`
	// PeerRetention is the silence after which a peer without an open session is
	// dropped from memory.
	PeerRetention time.Duration `yaml:"peer_forget"`
	// PeerTimeout is the limit on one call to another instance.
	PeerTimeout time.Duration `yaml:"peer_timeout"`
	// PlatformTimeout is the limit on one call to the platform.
	PlatformTimeout time.Duration `yaml:"platform_timeout"`
	// LogWait is how long a read of the log waits for a new entry.
	LogWait time.Duration `yaml:"log_wait"`
	// LogDownAfter is how long the end of the log may stay unread until the
	// log counts as down.
	LogDownAfter time.Duration `yaml:"log_down_after"`
	// AppendSpacing is the least time between two appends of an instance.
	AppendSpacing time.Duration `yaml:"append_spacing"`
	// ReadSpacing is the wait after a read of the log that brought entries, so
	// that one read brings several where many instances write.
	ReadSpacing time.Duration `yaml:"read_spacing"`
	// ListPoll is the period of reading the platform's list.
	ListPoll time.Duration `yaml:"list_poll"`
	// LoadPoll is the period of reading a target's load report.
	LoadPoll time.Duration `yaml:"load_poll"`
	// Snapshot is the period of writing a snapshot of the replayed state.
	Snapshot time.Duration `yaml:"snapshot"`
	// DrainNotice is how long a leaving instance goes on taking calls after
	// it said that it is not ready.
	DrainNotice time.Duration `yaml:"drain_notice"`
	// DrainLimit is how long a leaving instance waits for calls in flight.
	DrainLimit time.Duration `yaml:"drain_limit"`
}

// Log says what is logged and how.
type Log struct {
	// Level is the lowest level that is logged.
	Level LogLevel `yaml:"level"`
	// Format is the form of a log line.
	Format LogFormat `yaml:"format"`
}

// LogLevel is the severity of a log event.
type LogLevel string

// The log levels, from many events to few.
const (
	LevelDebug LogLevel = "debug"
	LevelInfo  LogLevel = "info"
	LevelWarn  LogLevel = "warn"
	LevelError LogLevel = "error"
)

// LogFormat is the form of a log line.
type LogFormat string

// The log formats.
const (
	FormatLogfmt LogFormat = "logfmt"
	FormatJSON   LogFormat = "json"
)

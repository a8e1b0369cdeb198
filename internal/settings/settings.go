// Package settings holds the settings of one tillerd process: its identity, the
// addresses that it listens on, the addresses of the platform, and its policy
// parameters.
//
// Configuration that is the same for the whole fleet (organisations, keys, models,
// services) is not part of it. Operators publish that through the platform's log;
// see fleetdir.
package settings

import (
	"time"

	"merlintiller/internal/coordination/admission"
	"merlintiller/internal/coordination/headroom"
	"merlintiller/internal/coordination/limiter"
	"merlintiller/internal/protocol"
)

// Settings is the content of the settings file. Default returns the values of
// fields that are not in the file.
type Settings struct {
	// Instance is the unique name of this process among all instances. A
	// restarted process keeps the name.
	Instance protocol.InstanceID `yaml:"instance"`
	// Domain is the failure domain in which the process runs.
	Domain protocol.Domain `yaml:"domain"`
	// Listen holds the addresses that this process listens on.
	Listen Listen `yaml:"listen"`
	// Seeds are peer addresses of some other instances. A process that starts
	// while the log is down requests the state from them. May be empty.
	Seeds []string `yaml:"seeds"`
	// Platform holds the addresses of the platform's services.
	Platform Platform `yaml:"platform"`
	// TLS holds the certificate files.
	TLS TLS `yaml:"tls"`
	// OperatorKeys are the keys that authorise calls to the operator API. They are
	// separate from callers' keys, which are part of the fleet configuration.
	OperatorKeys []OperatorKey `yaml:"operator_keys"`
	// Limits bound the resources that a caller can make the process use.
	Limits Limits `yaml:"limits"`
	// Timings are the periods and timeouts of the background services.
	Timings Timings `yaml:"timings"`
	// Batch holds the settings of batch jobs.
	Batch Batch `yaml:"batch"`
	// Calls holds the settings of online calls.
	Calls Calls `yaml:"calls"`
	// Routing holds the settings of target selection.
	Routing Routing `yaml:"routing"`
	// Limiter holds the settings of organisations' rate limits.
	Limiter limiter.Settings `yaml:"limiter"`
	// Admission holds the settings of the queues of online calls.
	Admission admission.Settings `yaml:"admission"`
	// Headroom holds the settings of the batch windows at targets.
	Headroom headroom.Settings `yaml:"headroom"`
	// Log holds the level and the format of the log.
	Log Log `yaml:"log"`
}

// Listen holds addresses as "ip:port". The process announces the same addresses to
// other processes, so they must be able to reach the IP address.
type Listen struct {
	// Callers is the address of the callers' HTTP API.
	Callers string `yaml:"callers"`
	// Peers is the address for calls between instances.
	Peers string `yaml:"peers"`
	// Operators is the address of the operator API and of expvar.
	Operators string `yaml:"operators"`
}

// Platform holds the addresses of the platform's services as "ip:port".
type Platform struct {
	// Log is the append-only log service.
	Log string `yaml:"log"`
	// List is the service that lists live and leaving instances and targets.
	List string `yaml:"list"`
	// Weights is the weight store.
	Weights string `yaml:"weights"`
}

// TLS holds the paths of files in PEM format. Changed files are read again.
type TLS struct {
	// Callers is the certificate presented to callers.
	Callers CertFiles `yaml:"callers"`
	// Peers is the certificate presented to other instances, as a server and as a
	// client.
	Peers MutualFiles `yaml:"peers"`
	// Operators is the certificate presented to operators.
	Operators MutualFiles `yaml:"operators"`
	// ReloadEvery is the period of the check for changed files.
	ReloadEvery time.Duration `yaml:"reload_every"`
	// AllowPlaintext permits listeners without TLS on addresses other than
	// loopback. Keys then cross the network unencrypted.
	AllowPlaintext bool `yaml:"allow_plaintext"`
}

// CertFiles names a certificate chain and its private key.
type CertFiles struct {
	// Cert is the file of the certificate chain.
	Cert string `yaml:"cert"`
	// Key is the file of the private key.
	Key string `yaml:"key"`
}

// MutualFiles names a certificate, its private key, and the certificate authorities
// that must have issued the other side's certificate.
type MutualFiles struct {
	// Cert is the file of the certificate chain.
	Cert string `yaml:"cert"`
	// Key is the file of the private key.
	Key string `yaml:"key"`
	// CA is the file of the accepted certificate authorities.
	CA string `yaml:"ca"`
}

// OperatorKey authorises one operator to use the operator API.
type OperatorKey struct {
	// ID names the operator in logs and in the history of changes.
	ID string `yaml:"id"`
	// SHA256 is the lower-case hexadecimal hash of the operator's secret.
	SHA256 string `yaml:"sha256"`
}

// Limits bound the resources that one caller or connection can make the process use.
type Limits struct {
	// BodyBytes is the largest body of an online call, in bytes.
	BodyBytes int64 `yaml:"body_bytes"`
	// BufferedBytes is the largest total size of the buffered bodies of all online
	// calls in flight, in bytes. Calls beyond it are rejected.
	BufferedBytes int64 `yaml:"buffered_bytes"`
	// FileBytes is the largest batch input file, in bytes.
	FileBytes int64 `yaml:"file_bytes"`
	// HeaderBytes is the largest request header, in bytes.
	HeaderBytes int `yaml:"header_bytes"`
	// HeldHeaderBytes is the largest total size of the request headers in memory, with what their lines take once they
	// are parsed, in bytes. Connections whose header is incomplete are closed beyond it.
	HeldHeaderBytes int64 `yaml:"held_header_bytes"`
	// Headers is the largest number of lines in a request header.
	Headers int `yaml:"headers"`
	// Connections is the largest number of open connections from callers.
	Connections int `yaml:"connections"`
	// PeerConnections is the largest number of open connections from other instances.
	PeerConnections int `yaml:"peer_connections"`
	// HeldMessageBytes is the largest total size of the messages of other instances that are being received, in bytes.
	// Connections whose message is incomplete are closed beyond it.
	HeldMessageBytes int64 `yaml:"held_message_bytes"`
	// HeaderTimeout ends a connection that does not send a complete header within it.
	HeaderTimeout time.Duration `yaml:"header_timeout"`
	// BodyTimeout ends a call whose body is not complete within it.
	BodyTimeout time.Duration `yaml:"body_timeout"`
	// FileTimeout ends an upload that is not complete within it.
	FileTimeout time.Duration `yaml:"file_timeout"`
	// IdleTimeout ends a connection that has no call for this time.
	IdleTimeout time.Duration `yaml:"idle_timeout"`
	// WriteTimeout bounds one write of a response. It ends a call whose caller
	// stops reading.
	WriteTimeout time.Duration `yaml:"write_timeout"`
}

// Timings are periods and timeouts.
type Timings struct {
	// Renew is the period at which the instance renews its session.
	Renew time.Duration `yaml:"renew"`
	// Hold is how long after it sent its last confirmed renewal an instance
	// continues exclusive work.
	Hold time.Duration `yaml:"hold"`
	// Expire is how long after it read the last renewal another instance may
	// end the session.
	Expire time.Duration `yaml:"expire"`
	// Stagger is the additional wait of each further instance in line before it
	// ends the session of another instance.
	Stagger time.Duration `yaml:"stagger"`
	// ClockDrift is the largest relative error of a monotonic clock.
	ClockDrift float64 `yaml:"clock_drift"`
	// Heartbeat is the period of the heartbeats between instances.
	Heartbeat time.Duration `yaml:"heartbeat"`
	// PeerSilenceTimeout is the time without a heartbeat after which a peer counts
	// as unreachable.
	PeerSilenceTimeout time.Duration `yaml:"peer_silent"`
	// PeerRetention is the time without a heartbeat after which a peer without an
	// open session is removed from memory.
	PeerRetention time.Duration `yaml:"peer_forget"`
	// PeerTimeout bounds one call to another instance.
	PeerTimeout time.Duration `yaml:"peer_timeout"`
	// PlatformTimeout bounds one call to the platform.
	PlatformTimeout time.Duration `yaml:"platform_timeout"`
	// LogWait is how long a read of the log waits for a new entry.
	LogWait time.Duration `yaml:"log_wait"`
	// LogDownAfter is the time without a read that reached the end of the log after
	// which the log counts as down.
	LogDownAfter time.Duration `yaml:"log_down_after"`
	// AppendSpacing is the minimum time between two appends of an instance.
	AppendSpacing time.Duration `yaml:"append_spacing"`
	// ReadSpacing is the wait after a read of the log that returned entries, so
	// that one read returns several entries when many instances write.
	ReadSpacing time.Duration `yaml:"read_spacing"`
	// ListPoll is the period at which the platform's list is read.
	ListPoll time.Duration `yaml:"list_poll"`
	// LoadPoll is the period at which a target's load report is read.
	LoadPoll time.Duration `yaml:"load_poll"`
	// Snapshot is the period at which a snapshot of the replayed state is written.
	Snapshot time.Duration `yaml:"snapshot"`
	// DrainNotice is how long a draining instance still accepts calls after
	// it reports that it is not ready.
	DrainNotice time.Duration `yaml:"drain_notice"`
	// DrainLimit is how long a draining instance waits for calls in flight.
	DrainLimit time.Duration `yaml:"drain_limit"`
}

// Log holds the level and the format of the log.
type Log struct {
	// Level is the lowest severity that is logged.
	Level LogLevel `yaml:"level"`
	// Format is the format of a log line.
	Format LogFormat `yaml:"format"`
}

// LogLevel is the severity of a log event.
type LogLevel string

// The log levels, in ascending severity.
const (
	LevelDebug LogLevel = "debug"
	LevelInfo  LogLevel = "info"
	LevelWarn  LogLevel = "warn"
	LevelError LogLevel = "error"
)

// LogFormat is the format of a log line.
type LogFormat string

// The log formats.
const (
	FormatLogfmt LogFormat = "logfmt"
	FormatJSON   LogFormat = "json"
)

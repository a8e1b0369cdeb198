package settings

import (
	"math"
	"net/http"
	"net/netip"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"merlintiller/internal/protocol"
	"merlintiller/internal/strictyaml"
)

// maxClockDrift is the largest accepted timings.clock_drift. A clock with a larger
// relative error is broken.
const maxClockDrift = 0.5

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	headerPattern = regexp.MustCompile(`^[A-Za-z0-9-]{1,64}$`)
	hashPattern   = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

func check(s *Settings, doc *strictyaml.Document) {
	checkName(doc, "instance", string(s.Instance))
	checkName(doc, "domain", string(s.Domain))
	checkListen(s, doc)
	for i, seed := range s.Seeds {
		checkAddress(doc, indexed("seeds", i), seed)
	}
	checkAddress(doc, "platform.log", s.Platform.Log)
	checkAddress(doc, "platform.list", s.Platform.List)
	checkAddress(doc, "platform.weights", s.Platform.Weights)
	checkTLS(s, doc)
	checkOperatorKeys(s, doc)
	checkNumbers(doc, "", reflect.ValueOf(s).Elem())
	checkTimings(s, doc)
	checkBatch(s, doc)
	checkShares(s, doc)
	checkHeaders(s, doc)
	checkLog(doc, s.Log)
}

func checkName(doc *strictyaml.Document, field, value string) {
	if value == "" {
		doc.Report(field, "is missing")
		return
	}
	if !namePattern.MatchString(value) {
		doc.Report(field, "%q must be lower-case letters, digits and hyphens, at most 63", value)
	}
}

func checkListen(s *Settings, doc *strictyaml.Document) {
	checkDistinctAddresses(doc, []addressField{
		{"listen.callers", s.Listen.Callers},
		{"listen.peers", s.Listen.Peers},
		{"listen.operators", s.Listen.Operators},
	})
}

type addressField struct{ name, value string }

// checkDistinctAddresses reports incomplete addresses and addresses that are used twice.
func checkDistinctAddresses(doc *strictyaml.Document, fields []addressField) {
	used := map[string]string{}
	for _, field := range fields {
		if !checkAddress(doc, field.name, field.value) {
			continue
		}
		if other, ok := used[field.value]; ok {
			doc.Report(field.name, "%s is the address of %s already", field.value, other)
		}
		used[field.value] = field.name
	}
}

// checkAddress reports whether a value is an IP address with a port. It rejects
// host names: a name service is one more dependency that a network partition can
// make unreachable, and instances exchange their addresses as IP addresses.
func checkAddress(doc *strictyaml.Document, field, value string) bool {
	if value == "" {
		doc.Report(field, "is missing; give an address such as 10.0.0.1:8080")
		return false
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		doc.Report(field, "%q must be an IP address with a port, such as 10.0.0.1:8080", value)
		return false
	}
	if address.Addr().IsUnspecified() {
		doc.Report(field, "%q is an unspecified address; give the IP address under which other processes reach this one", value)
		return false
	}
	return true
}

func checkTLS(s *Settings, doc *strictyaml.Document) {
	checkTLSFiles(doc, "tls.callers", s.Listen.Callers, s.TLS.AllowPlaintext,
		tlsFile{"cert", s.TLS.Callers.Cert}, tlsFile{"key", s.TLS.Callers.Key})
	checkTLSFiles(doc, "tls.peers", s.Listen.Peers, s.TLS.AllowPlaintext,
		tlsFile{"cert", s.TLS.Peers.Cert}, tlsFile{"key", s.TLS.Peers.Key}, tlsFile{"ca", s.TLS.Peers.CA})
	checkTLSFiles(doc, "tls.operators", s.Listen.Operators, s.TLS.AllowPlaintext,
		tlsFile{"cert", s.TLS.Operators.Cert}, tlsFile{"key", s.TLS.Operators.Key}, tlsFile{"ca", s.TLS.Operators.CA})
}

// tlsFile is one file of a listener's TLS settings, with the name of its field.
type tlsFile struct{ name, path string }

// checkTLSFiles requires either all TLS files of a listener or none. A listener
// without files is accepted only if plaintext is allowed or its address is loopback.
func checkTLSFiles(doc *strictyaml.Document, field, address string, allowPlaintext bool, files ...tlsFile) {
	given := 0
	for _, f := range files {
		if f.path != "" {
			given++
		}
	}
	if given == 0 {
		if !allowPlaintext && !isLoopback(address) {
			doc.Report(field, "is missing, and %s is not a loopback address; give the files or set tls.allow_plaintext", address)
		}
		return
	}
	for _, f := range files {
		if f.path == "" {
			doc.Report(field+"."+f.name, "is missing")
		}
	}
}

func isLoopback(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().IsLoopback()
}

func checkOperatorKeys(s *Settings, doc *strictyaml.Document) {
	if len(s.OperatorKeys) == 0 {
		doc.Report("operator_keys", "is missing; without a key no operator can use this instance")
	}
	seen := map[string]bool{}
	for i, key := range s.OperatorKeys {
		field := indexed("operator_keys", i)
		checkName(doc, field+".id", key.ID)
		if seen[key.ID] {
			doc.Report(field+".id", "%q is a duplicate", key.ID)
		}
		seen[key.ID] = true
		if !hashPattern.MatchString(key.SHA256) {
			// The message omits the value, which may be the secret itself.
			doc.Report(field+".sha256", "must be the 64 hexadecimal digits of a SHA-256 hash")
		}
	}
}

// zeroAllowed lists the number fields for which 0 is a valid value.
var zeroAllowed = map[string]bool{
	"routing.affinity_load": true,
	"headroom.spare":        true,
	"max_scheduling_lag":    true,
	// 0 turns the part off.
	"adaptive.answer_buffers_percent": true,
	"adaptive.pace_max_age":           true,
}

// checkNumbers rejects negative numbers and durations in all fields, and zero except
// in the fields of zeroAllowed. A period of 0 would make a loop spin, and a limit of
// 0 would reject everything.
func checkNumbers(doc *strictyaml.Document, field string, value reflect.Value) {
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			name := value.Type().Field(i).Tag.Get("yaml")
			checkNumbers(doc, strings.TrimPrefix(field+"."+name, "."), value.Field(i))
		}
	case reflect.Int, reflect.Int64:
		switch {
		case value.Int() < 0 && zeroAllowed[field]:
			doc.Report(field, "must not be negative")
		case value.Int() < 0, value.Int() == 0 && !zeroAllowed[field]:
			doc.Report(field, "must be above 0")
		}
	case reflect.Float64:
		number := value.Float()
		allowed := number > 0 || number == 0 && zeroAllowed[field]
		if !allowed || math.IsInf(number, 0) {
			doc.Report(field, "must be a number above 0")
		}
	}
}

func checkTimings(s *Settings, doc *strictyaml.Document) {
	t := s.Timings
	if 2*t.Renew > t.Hold {
		doc.Report("timings.renew", "%s must be at most half of timings.hold (%s), or one lost renewal stops work", t.Renew, t.Hold)
	}
	if t.ClockDrift >= maxClockDrift {
		doc.Report("timings.clock_drift", "%g must be below %g", t.ClockDrift, maxClockDrift)
	}
	holdOnSlowestClock := time.Duration(float64(t.Hold) * (1 + t.ClockDrift) / (1 - t.ClockDrift))
	if t.Expire <= holdOnSlowestClock {
		doc.Report("timings.expire", "%s must be larger than timings.hold (%s on the slowest clock), or two instances hold the same work",
			t.Expire, holdOnSlowestClock)
	}
	if s.Limiter.MaxRenewalAge >= t.Hold {
		doc.Report("limiter.renewal_late", "%s must be below timings.hold (%s), or promises are requested too late", s.Limiter.MaxRenewalAge, t.Hold)
	}
	if drainTime := t.DrainNotice + s.Calls.Deadline; t.DrainLimit < drainTime {
		doc.Report("timings.drain_limit", "%s must be at least timings.drain_notice and calls.deadline together (%s), or a shutdown interrupts calls", t.DrainLimit, drainTime)
	}
	if t.PeerSilenceTimeout < 2*t.Heartbeat {
		doc.Report("timings.peer_silent", "%s must be at least twice timings.heartbeat (%s)", t.PeerSilenceTimeout, t.Heartbeat)
	}
	if t.LogDownAfter <= t.LogWait {
		doc.Report("timings.log_down_after", "%s must be longer than timings.log_wait (%s)", t.LogDownAfter, t.LogWait)
	}
	if t.PlatformTimeout <= t.LogWait {
		doc.Report("timings.platform_timeout", "%s must be longer than timings.log_wait (%s)", t.PlatformTimeout, t.LogWait)
	}
}

func checkBatch(s *Settings, doc *strictyaml.Document) {
	if s.Batch.ResultsReadable < time.Hour {
		doc.Report("batch.results_readable", "%s must be at least 1h", s.Batch.ResultsReadable)
	}
	if s.Batch.LineBytes > protocol.MaxEntryBytes/2 {
		doc.Report("batch.line_bytes", "%d must be at most %d, half of a log entry", s.Batch.LineBytes, protocol.MaxEntryBytes/2)
	}
	if s.Batch.ResultBytes > protocol.MaxEntryBytes/2 {
		doc.Report("batch.result_bytes", "%d must be at most %d, half of a log entry", s.Batch.ResultBytes, protocol.MaxEntryBytes/2)
	}
}

// checkShares requires that fractions are at most 1.
func checkShares(s *Settings, doc *strictyaml.Document) {
	shares := []struct {
		field string
		value float64
	}{
		{"calls.retry_share", s.Calls.RetryShare},
		{"routing.eject_share", s.Routing.EjectShare},
		{"headroom.spare", s.Headroom.SpareShare},
		{"headroom.grow_part", s.Headroom.GrowStep},
		{"admission.hold_memory", s.Admission.HoldTimeSmoothing},
	}
	for _, share := range shares {
		if share.value > 1 {
			doc.Report(share.field, "%g must be at most 1", share.value)
		}
	}
}

// credentialHeaders are the request headers that may hold the caller's key. With
// the key, the operator of a target could act for the caller's organisation, so these
// headers are never forwarded.
var credentialHeaders = map[string]bool{
	"Authorization":       true,
	"Proxy-Authorization": true,
	"Cookie":              true,
	"X-Api-Key":           true,
	"Api-Key":             true,
}

func checkHeaders(s *Settings, doc *strictyaml.Document) {
	for i, name := range s.Calls.AllowHeaders {
		field := indexed("calls.allow_headers", i)
		switch {
		case credentialHeaders[http.CanonicalHeaderKey(name)]:
			doc.Report(field, "%q may hold the caller's key, which must not be sent to a target", name)
		case !headerPattern.MatchString(name):
			doc.Report(field, "%q is not a valid header name", name)
		}
	}
}

func checkLog(doc *strictyaml.Document, l Log) {
	switch l.Level {
	case LevelDebug, LevelInfo, LevelWarn, LevelError:
	default:
		doc.Report("log.level", "%q must be debug, info, warn or error", string(l.Level))
	}
	switch l.Format {
	case FormatLogfmt, FormatJSON:
	default:
		doc.Report("log.format", "%q must be logfmt or json", string(l.Format))
	}
}

// indexed returns the path of a list element, such as "seeds[0]".
func indexed(field string, i int) string {
	return field + "[" + strconv.Itoa(i) + "]"
}

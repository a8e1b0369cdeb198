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

// mostDrift is the largest clock error that settings may name. A larger one is
// a broken clock.
const mostDrift = 0.5

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
	checkPositive(doc, "", reflect.ValueOf(s).Elem())
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
	checkDistinct(doc, []namedAddress{
		{"listen.callers", s.Listen.Callers},
		{"listen.peers", s.Listen.Peers},
		{"listen.operators", s.Listen.Operators},
	})
}

type namedAddress struct{ name, value string }

// checkDistinct wants whole addresses, each of them once.
func checkDistinct(doc *strictyaml.Document, fields []namedAddress) {
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

// checkAddress reports whether an address is whole. Names are refused: a name
// service is one more thing that can be cut off, and instances are told their
// addresses by IP number.
func checkAddress(doc *strictyaml.Document, field, value string) bool {
	if value == "" {
		doc.Report(field, "is missing; give an address such as 10.0.0.1:8080")
		return false
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		doc.Report(field, "%q must be an IP number with a port, such as 10.0.0.1:8080", value)
		return false
	}
	if address.Addr().IsUnspecified() {
		doc.Report(field, "%q can't be told to others; give the IP number that they reach", value)
		return false
	}
	return true
}

func checkTLS(s *Settings, doc *strictyaml.Document) {
	checkFiles(doc, "tls.callers", s.Listen.Callers, s.TLS.AllowPlaintext,
		file{"cert", s.TLS.Callers.Cert}, file{"key", s.TLS.Callers.Key})
	checkFiles(doc, "tls.peers", s.Listen.Peers, s.TLS.AllowPlaintext,
		file{"cert", s.TLS.Peers.Cert}, file{"key", s.TLS.Peers.Key}, file{"ca", s.TLS.Peers.CA})
	checkFiles(doc, "tls.operators", s.Listen.Operators, s.TLS.AllowPlaintext,
		file{"cert", s.TLS.Operators.Cert}, file{"key", s.TLS.Operators.Key}, file{"ca", s.TLS.Operators.CA})
}

type file struct{ name, path string }

// checkFiles wants all files of a listener or none, and none only where
// plaintext is allowed.
func checkFiles(doc *strictyaml.Document, field, address string, plaintext bool, files ...file) {
	given := 0
	for _, f := range files {
		if f.path != "" {
			given++
		}
	}
	if given == 0 {
		if !plaintext && !isLoopback(address) {
			doc.Report(field, "is missing, and %s is not loopback; give the files or set tls.allow_plaintext", address)
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
			doc.Report(field+".id", "%q stands twice", key.ID)
		}
		seen[key.ID] = true
		if !hashPattern.MatchString(key.SHA256) {
			// The value is not shown: it may be the secret itself.
			doc.Report(field+".sha256", "must be the 64 hexadecimal digits of a SHA-256 hash")
		}
	}
}

// mayBeZero are the numbers that have a use for 0.
var mayBeZero = map[string]bool{
	"routing.affinity_load": true,
	"headroom.spare":        true,
}

// checkPositive refuses negative numbers and times anywhere, and zero where it
// has no use: a period of 0 would spin, a limit of 0 refuse everything.
func checkPositive(doc *strictyaml.Document, field string, value reflect.Value) {
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			name := value.Type().Field(i).Tag.Get("yaml")
			checkPositive(doc, strings.TrimPrefix(field+"."+name, "."), value.Field(i))
		}
	case reflect.Int, reflect.Int64:
		if value.Int() <= 0 {
			doc.Report(field, "must be above 0")
		}
	case reflect.Float64:
		number := value.Float()
		allowed := number > 0 || number == 0 && mayBeZero[field]
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
	if t.ClockDrift >= mostDrift {
		doc.Report("timings.clock_drift", "%g must be below %g", t.ClockDrift, mostDrift)
	}
	slowest := time.Duration(float64(t.Hold) * (1 + t.ClockDrift) / (1 - t.ClockDrift))
	if t.Expire <= slowest {
		doc.Report("timings.expire", "%s must be larger than timings.hold (%s on the slowest clock), or two instances hold the same work",
			t.Expire, slowest)
	}
	if s.Limiter.MaxRenewalAge >= t.Hold {
		doc.Report("limiter.renewal_late", "%s must be below timings.hold (%s), or promises are asked for too late", s.Limiter.MaxRenewalAge, t.Hold)
	}
	if longest := t.DrainNotice + s.Calls.Deadline; t.DrainLimit < longest {
		doc.Report("timings.drain_limit", "%s must be at least timings.drain_notice and calls.deadline together (%s), or a shutdown cuts calls", t.DrainLimit, longest)
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

// checkShares wants parts of a whole to be at most the whole.
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

// credentialHeaders may hold the caller's key. Passed to a target, it would let
// whoever runs that target act for the organisation.
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
			doc.Report(field, "%q may hold the caller's key, which no target may see", name)
		case !headerPattern.MatchString(name):
			doc.Report(field, "%q is no name of a header", name)
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

func indexed(field string, i int) string {
	return field + "[" + strconv.Itoa(i) + "]"
}

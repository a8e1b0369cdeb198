package settings

import (
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"merlintiller/internal/coordination/routed/pace"
	"merlintiller/internal/protocol"
	"merlintiller/internal/strictyaml"
)

// Routed is the content of the settings file of an instance that serves the routes
// that operators publish in a shared store (tillerd --routed). DefaultRouted returns
// the values of fields that are not in the file.
type Routed struct {
	// Instance names this process among all instances. A restarted process
	// keeps the name.
	Instance protocol.InstanceID `yaml:"instance"`
	// Domain is the failure domain in which the process runs.
	Domain protocol.Domain `yaml:"domain"`
	// Listen holds the addresses that this process listens on.
	Listen RoutedListen `yaml:"listen"`
	// Seeds are peer addresses of some other instances. The process contacts them
	// while it knows no other instance, such as at a start while the store is down.
	Seeds []string `yaml:"seeds"`
	// Store holds the address and the limits of the shared store.
	Store Store `yaml:"store"`
	// ResultsReadable is how long a batch job can be read, counted from its
	// submission. A job that is still open stays until it is closed.
	ResultsReadable time.Duration `yaml:"results_readable"`
	// MemoryMB is the memory that the process may use, in megabytes.
	MemoryMB int `yaml:"memory_mb"`
	// CPUCores is the number of processor cores that the process may use; 0.5 is half
	// a core. Instances with more cores do more work for the other instances.
	CPUCores float64 `yaml:"processor"`
	// MaxSchedulingLag is the time for which half of the goroutines wait for the processor above
	// which the process is overloaded: it closes new connections before it reads anything from
	// them, so that callers go to other instances. 0 turns this off.
	MaxSchedulingLag time.Duration `yaml:"max_scheduling_lag"`
	// Grace is the time from the termination signal to the end of the process.
	Grace time.Duration `yaml:"grace"`
	// DrainNotice is how long a draining instance still accepts requests after it
	// reports that it is not ready: the load balancer probes once a second and removes
	// an instance after two failed probes. The default is at most two fifths of grace.
	DrainNotice time.Duration `yaml:"drain_notice"`
	// Adaptive holds the settings of how the instance adapts to uneven load.
	Adaptive Adaptive `yaml:"adaptive"`
	// Log holds the level and the format of the log.
	Log Log `yaml:"log"`
}

// Adaptive holds the settings of how the instance adapts to uneven load. Each of them turns one
// part on or off.
type Adaptive struct {
	// PaceMaxAge is the age up to which a target's report of how long work takes there is used
	// to choose targets. 0 turns this off: targets are chosen by their free slots only. At most
	// 10s.
	PaceMaxAge time.Duration `yaml:"pace_max_age"`
	// ExpectedTimes makes the instance estimate from recent answers how long answers take, and
	// decide from that by when a waiting request must be sent, and when a target counts as
	// stalled. It acts for services whose targets report their pace. false: fixed times apply.
	ExpectedTimes bool `yaml:"expected_times"`
	// FairQueue divides the slots of targets among organisations in proportion to their rates
	// while more online requests wait than can be served in time, and rejects requests at once
	// that cannot get a slot, with the time when room is expected. Without it, the requests
	// that must be sent first go first, and all wait.
	FairQueue bool `yaml:"fair_queue"`
	// BatchForecast makes brokers forecast the demand of online requests while it varies in a way
	// that repeats, and start and preempt batch items by that. Without it, items start whenever a
	// slot is free.
	BatchForecast bool `yaml:"batch_forecast"`
	// AnswerBuffersPercent is the part of memory_mb, in percent, that may be used for bytes held
	// for callers: answers that they have not read yet, and bodies of requests. A target is then
	// read to the end of its answer while its caller reads slowly. 0 turns this off: a caller that
	// reads slowly holds its target's slot. At most 50.
	AnswerBuffersPercent int `yaml:"answer_buffers_percent"`
}

// RoutedListen holds addresses as "ip:port".
type RoutedListen struct {
	// Callers is the address for callers' requests.
	Callers string `yaml:"callers"`
	// Readiness is the address that the load balancer probes.
	Readiness string `yaml:"readiness"`
	// Peers is the address for calls between instances.
	Peers string `yaml:"peers"`
	// Metrics is the address that serves metrics, empty for none.
	Metrics string `yaml:"metrics"`
}

// Store holds the address and the limits of the shared store.
type Store struct {
	// Address is the address of the store as "ip:port".
	Address string `yaml:"address"`
	// Partitions is the number of partitions per topic.
	Partitions int `yaml:"partitions"`
	// RecordBytes is the largest record, in bytes.
	RecordBytes int `yaml:"record_bytes"`
	// CallBytes is the largest total size of the records of one append, in bytes.
	CallBytes int `yaml:"call_bytes"`
	// Timeout bounds a call to the store, in addition to the wait that the call
	// requests.
	Timeout time.Duration `yaml:"timeout"`
}

// DefaultRouted returns the default values of all optional fields.
func DefaultRouted() *Routed {
	return &Routed{
		Store: Store{
			Partitions:  12,
			RecordBytes: 256 << 10,
			CallBytes:   2 << 20,
			// A store that is sixty times slower than usual still responds within it.
			Timeout: 1500 * time.Millisecond,
		},
		// Results stay readable until the next morning and one day longer.
		ResultsReadable: 36 * time.Hour,
		MemoryMB:        256,
		CPUCores:        1,
		// A request waits for the processor about twenty times until its first byte.
		MaxSchedulingLag: 5 * time.Millisecond,
		Grace:            8 * time.Second,
		// Two failed probes one second apart, plus time for the load balancer to act
		// on the second one.
		DrainNotice: 2500 * time.Millisecond,
		Log:         Log{Level: LevelInfo, Format: FormatLogfmt},
		Adaptive: Adaptive{
			// Slow phases of targets take about 600 ms, and instances repeat reports every
			// 400 ms.
			PaceMaxAge:    time.Second,
			ExpectedTimes: true,
		},
	}
}

// LoadRouted reads and checks a settings file, as Load does.
func LoadRouted(path string) (*Routed, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(err, "settings")
	}
	return ParseRouted(path, data)
}

// ParseRouted decodes and checks the content of a settings file. Errors contain name.
func ParseRouted(name string, data []byte) (*Routed, error) {
	s := DefaultRouted()
	doc := strictyaml.Decode(name, data, s)
	if !doc.Has("drain_notice") {
		s.DrainNotice = min(s.DrainNotice, time.Duration(drainNoticeShare*float64(s.Grace)))
	}
	if len(doc.Problems()) == 0 {
		checkRouted(s, doc)
	}
	if err := doc.Problems().Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// drainNoticeShare is the fraction of a short grace time for which a draining instance
// still accepts requests. The remainder is for requests in flight.
const drainNoticeShare = 0.4

// minRecordBytes is the smallest accepted store.record_bytes. A record of this size
// can hold the header of a job and any item of usual size.
const minRecordBytes = 4 << 10

// maxAnswerBuffersPercent is the largest accepted adaptive.answer_buffers_percent. It is below the
// share of the memory that is set as the soft limit of the Go runtime.
const maxAnswerBuffersPercent = 50

func checkRouted(s *Routed, doc *strictyaml.Document) {
	if s.Instance == "" {
		doc.Report("instance", "is missing")
	}
	if strings.ContainsAny(string(s.Instance), " \t\r\n=\"") {
		doc.Report("instance", "%q must not contain spaces, quotes or equal signs", string(s.Instance))
	}
	if s.Domain == "" {
		doc.Report("domain", "is missing")
	}
	checkDistinctAddresses(doc, []addressField{
		{"listen.callers", s.Listen.Callers},
		{"listen.readiness", s.Listen.Readiness},
		{"listen.peers", s.Listen.Peers},
	})
	if s.Listen.Metrics != "" {
		checkAddress(doc, "listen.metrics", s.Listen.Metrics)
	}
	for i, seed := range s.Seeds {
		checkAddress(doc, indexed("seeds", i), seed)
	}
	checkAddress(doc, "store.address", s.Store.Address)
	checkNumbers(doc, "", reflect.ValueOf(s).Elem())
	if s.Store.RecordBytes < minRecordBytes {
		doc.Report("store.record_bytes", "%d must be at least %d", s.Store.RecordBytes, minRecordBytes)
	}
	if s.Store.CallBytes < s.Store.RecordBytes {
		doc.Report("store.call_bytes", "%d must be at least store.record_bytes (%d)", s.Store.CallBytes, s.Store.RecordBytes)
	}
	if s.Adaptive.AnswerBuffersPercent > maxAnswerBuffersPercent {
		doc.Report("adaptive.answer_buffers_percent", "%d must be at most %d, the rest of the memory is needed for connections and the heap's growth",
			s.Adaptive.AnswerBuffersPercent, maxAnswerBuffersPercent)
	}
	if s.DrainNotice >= s.Grace {
		doc.Report("drain_notice", "%s must be shorter than grace (%s), or a shutdown interrupts requests", s.DrainNotice, s.Grace)
	}
	if s.Adaptive.PaceMaxAge > pace.MaxReportAge {
		doc.Report("adaptive.pace_max_age", "%s must be at most %s", s.Adaptive.PaceMaxAge, pace.MaxReportAge)
	}
	checkLog(doc, s.Log)
}

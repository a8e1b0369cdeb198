package settings

import (
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/gravitational/trace"

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
	// Adaptive holds the settings of decisions that follow the load.
	Adaptive Adaptive `yaml:"adaptive"`
	// Log holds the level and the format of the log.
	Log Log `yaml:"log"`
}

// Adaptive holds the settings of decisions that follow the load. Each one turns a decision on or
// off.
type Adaptive struct {
	// BatchForecast makes brokers forecast the demand of online requests while it varies in a way
	// that repeats, and start and preempt batch items by that. Without it, items start whenever a
	// slot is free.
	BatchForecast bool `yaml:"batch_forecast"`
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
	if s.DrainNotice >= s.Grace {
		doc.Report("drain_notice", "%s must be shorter than grace (%s), or a shutdown interrupts requests", s.DrainNotice, s.Grace)
	}
	checkLog(doc, s.Log)
}

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

// Routed is the settings file of an instance that serves the routes which
// operators publish in a shared store (tillerd --routed). RoutedDefault gives
// the values of fields that the file leaves out.
type Routed struct {
	// Instance names this process among all instances. A restarted process
	// keeps the name.
	Instance protocol.InstanceID `yaml:"instance"`
	// Domain is the failure domain that the process stands in.
	Domain protocol.Domain `yaml:"domain"`
	// Listen holds the addresses that this process listens on.
	Listen RoutedListen `yaml:"listen"`
	// Seeds are peer addresses of some other instances. They are asked while no
	// other one is known, such as at a start while the store is down.
	Seeds []string `yaml:"seeds"`
	// Store says where the shared store stands and what it takes.
	Store Store `yaml:"store"`
	// ResultsReadable is how long a batch job can be read, counted from its
	// submission. One that is still open stays until it is closed.
	ResultsReadable time.Duration `yaml:"results_readable"`
	// MemoryMB is the memory that the process may use, in megabytes.
	MemoryMB int `yaml:"memory_mb"`
	// CPUCores is the part of a core that the process may use, 2 for two cores.
	// Instances that have more of it do more for the others.
	CPUCores float64 `yaml:"processor"`
	// Grace is the time from the order to stop to the end of the process.
	Grace time.Duration `yaml:"grace"`
	// DrainNotice is how long a leaving instance goes on taking requests after
	// it said that it is not ready: the balancer asks once a second and takes an
	// instance out after two misses. Left out, it is at most two fifths of grace.
	DrainNotice time.Duration `yaml:"drain_notice"`
	// Log says what is logged and how.
	Log Log `yaml:"log"`
}

// RoutedListen holds addresses as "ip:port".
type RoutedListen struct {
	// Callers is the address of callers' requests.
	Callers string `yaml:"callers"`
	// Readiness is the address that the balancer asks.
	Readiness string `yaml:"readiness"`
	// Peers is the address of the calls between instances.
	Peers string `yaml:"peers"`
	// Metrics is the address of metrics, empty for none.
	Metrics string `yaml:"metrics"`
}

// Store describes the shared store.
type Store struct {
	// Address is "ip:port".
	Address string `yaml:"address"`
	// Partitions is the number of partitions of a topic.
	Partitions int `yaml:"partitions"`
	// RecordBytes is the largest record, in bytes.
	RecordBytes int `yaml:"record_bytes"`
	// CallBytes is what the records of one append may take together, in bytes.
	CallBytes int `yaml:"call_bytes"`
	// Timeout bounds a call, beyond the time that it asks to wait.
	Timeout time.Duration `yaml:"timeout"`
}

// DefaultRouted gives the value of every field that a file may leave out.
func DefaultRouted() *Routed {
	return &Routed{
		Store: Store{
			Partitions:  12,
			RecordBytes: 256 << 10,
			CallBytes:   2 << 20,
			// A store sixty times slower than usual still answers within it.
			Timeout: 1500 * time.Millisecond,
		},
		// The morning after, and a day to ask about it.
		ResultsReadable: 36 * time.Hour,
		MemoryMB:        256,
		CPUCores:       1,
		Grace:           8 * time.Second,
		// Two misses a second apart, and some time for the second to be seen.
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

// ParseRouted checks the content of a settings file. The name stands in errors.
func ParseRouted(name string, data []byte) (*Routed, error) {
	s := DefaultRouted()
	doc := strictyaml.Decode(name, data, s)
	if !doc.Has("drain_notice") {
		s.DrainNotice = min(s.DrainNotice, time.Duration(noticeShare*float64(s.Grace)))
	}
	if len(doc.Problems()) == 0 {
		checkRouted(s, doc)
	}
	if err := doc.Problems().Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// noticeShare is the part of a short grace that a leaving instance goes on taking
// requests; the rest is for those in flight.
const noticeShare = 0.4

// leastRecord holds the head of a job and any item of usual size.
const leastRecord = 4 << 10

func checkRouted(s *Routed, doc *strictyaml.Document) {
	if s.Instance == "" {
		doc.Report("instance", "is missing")
	}
	if strings.ContainsAny(string(s.Instance), " \t\r\n=\"") {
		doc.Report("instance", "%q must not hold spaces, quotes or equal signs", string(s.Instance))
	}
	if s.Domain == "" {
		doc.Report("domain", "is missing")
	}
	checkDistinct(doc, []namedAddress{
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
	checkPositive(doc, "", reflect.ValueOf(s).Elem())
	if s.Store.RecordBytes < leastRecord {
		doc.Report("store.record_bytes", "%d must be at least %d", s.Store.RecordBytes, leastRecord)
	}
	if s.Store.CallBytes < s.Store.RecordBytes {
		doc.Report("store.call_bytes", "%d must be at least store.record_bytes (%d)", s.Store.CallBytes, s.Store.RecordBytes)
	}
	if s.DrainNotice >= s.Grace {
		doc.Report("drain_notice", "%s must be shorter than grace (%s), or a shutdown cuts requests", s.DrainNotice, s.Grace)
	}
	checkLog(doc, s.Log)
}

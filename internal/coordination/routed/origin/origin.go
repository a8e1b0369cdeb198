package origin

import "time"

// Source is where the version of a stream is known from. Its values appear in logs and
// metrics.
type Source string

const (
	// Answer: this request's own answer began the stream.
	Answer Source = "answer"
	// Own: the stream began at this instance.
	Own Source = "own"
	// Told: the instance at which the stream began sent the record to this one.
	Told Source = "told"
	// Asked: another instance had the record.
	Asked Source = "asked"
	// OnlyVersion: the service has had no other version for longer than a stream lasts.
	OnlyVersion Source = "only_version"
	// Unknown: no record was found, and the service has or had several versions.
	Unknown Source = "unknown"
)

// Origin is what is known about the beginning of a stream.
type Origin struct {
	// Version is the software version of the target that sent the first event. Empty: not
	// known.
	Version string
	// Source is where Version is known from, empty for a request that began no stream and
	// goes on with none.
	Source Source
	// Age is the time since the stream began or, for OnlyVersion, since the list of targets
	// was read.
	Age time.Duration
}

// Known reports whether the version is known.
func (o Origin) Known() bool { return o.Version != "" }

// Versions returns the software versions at which the stream may run. Empty: any.
func (o Origin) Versions() []string {
	if !o.Known() {
		return nil
	}
	return []string{o.Version}
}

// Allows reports whether the stream may go on at a target of a version.
func (o Origin) Allows(version string) bool {
	return o.Source == "" || o.Known() && o.Version == version
}

package protocol

import "time"

// Fleet is the complete configuration in force, merged from the objects that
// operators publish. A Fleet is immutable once it has been published to readers.
type Fleet struct {
	// Version is the offset of the last accepted change. It never decreases.
	Version Offset `cbor:"1,keyasint" json:"version"`
	// Organisations maps ids to organisations.
	Organisations map[OrganisationID]Organisation `cbor:"2,keyasint" json:"organisations"`
	// Keys maps ids to keys, including withdrawn ones.
	Keys map[KeyID]Key `cbor:"3,keyasint" json:"keys"`
	// Models maps the names that callers use to models.
	Models map[ModelName]Model `cbor:"4,keyasint" json:"models"`
	// Services maps names to services, both model runners and plain services.
	Services map[ServiceName]Service `cbor:"5,keyasint" json:"services"`
	// Domains maps failure domains to their share of every organisation's rate.
	Domains map[Domain]DomainShare `cbor:"6,keyasint" json:"domains"`
}

// Organisation is a tenant with its share of the fleet.
type Organisation struct {
	// ID names the organisation.
	ID OrganisationID `cbor:"1,keyasint" json:"id" yaml:"id"`
	// Name is the display name.
	Name string `cbor:"2,keyasint,omitempty" json:"name,omitempty" yaml:"name,omitempty"`
	// Rate is the limit on online requests per second over the whole fleet.
	Rate float64 `cbor:"3,keyasint" json:"rate" yaml:"rate"`
	// Burst is the size of the token bucket in requests over the whole fleet, at least
	// 1.
	Burst float64 `cbor:"4,keyasint" json:"burst" yaml:"burst"`
	// Weight is the fair share under contention; 0 means 1.
	Weight float64 `cbor:"5,keyasint,omitempty" json:"weight,omitempty" yaml:"weight,omitempty"`
	// Objectives are the service levels that the burn report measures.
	Objectives Objectives `cbor:"6,keyasint" json:"objectives,omitzero" yaml:"objectives,omitempty"`
}

// Objectives are service-level objectives. A zero field is not measured.
type Objectives struct {
	// FirstToken is the longest time to the first token of a good call.
	FirstToken time.Duration `cbor:"1,keyasint,omitempty" json:"first_token,omitempty" yaml:"first_token,omitempty"`
	// BetweenTokens is the longest mean time between the tokens of a good stream.
	BetweenTokens time.Duration `cbor:"2,keyasint,omitempty" json:"between_tokens,omitempty" yaml:"between_tokens,omitempty"`
	// Target is the share of calls that must be good, such as 0.99.
	Target float64 `cbor:"3,keyasint,omitempty" json:"target,omitempty" yaml:"target,omitempty"`
	// BatchOnTime is the share of batch items that must be done by their deadline.
	BatchOnTime float64 `cbor:"4,keyasint,omitempty" json:"batch_on_time,omitempty" yaml:"batch_on_time,omitempty"`
}

// Key authorises callers to act for one organisation. The secret itself is never
// stored.
type Key struct {
	// ID is public and never reused for another secret.
	ID KeyID `cbor:"1,keyasint" json:"id" yaml:"id"`
	// Organisation is the organisation that callers with the key act for.
	Organisation OrganisationID `cbor:"2,keyasint" json:"organisation" yaml:"organisation"`
	// SHA256 is the lower-case hexadecimal hash of the secret.
	SHA256 string `cbor:"3,keyasint" json:"sha256" yaml:"sha256"`
	// Withdrawn is a tombstone: once true, it is never reset.
	Withdrawn bool `cbor:"4,keyasint,omitempty" json:"withdrawn,omitempty" yaml:"withdrawn,omitempty"`
}

// Model maps the name that callers use to a service and the version that it must run.
type Model struct {
	// Name is the model name in callers' requests.
	Name ModelName `cbor:"1,keyasint" json:"name" yaml:"name"`
	// Service is the model service whose targets run it.
	Service ServiceName `cbor:"2,keyasint" json:"service" yaml:"service"`
	// Version is the weight version the service's targets must have loaded.
	Version string `cbor:"3,keyasint,omitempty" json:"version,omitempty" yaml:"version,omitempty"`
	// Adapter is an optional adapter that is loaded with the model.
	Adapter string `cbor:"4,keyasint,omitempty" json:"adapter,omitempty" yaml:"adapter,omitempty"`
}

// ServiceKind distinguishes model runners from plain services.
type ServiceKind string

const (
	// KindModel targets are engines that batch continuously and stream tokens.
	KindModel ServiceKind = "model"
	// KindPlain targets are ordinary HTTP services.
	KindPlain ServiceKind = "plain"
)

// Service is a set of interchangeable targets.
type Service struct {
	// Name is the name that the platform's list of targets shows.
	Name ServiceName `cbor:"1,keyasint" json:"name" yaml:"name"`
	// Kind is model for model runners and plain for ordinary HTTP services.
	Kind ServiceKind `cbor:"2,keyasint" json:"kind" yaml:"kind"`
	// ChecksFencing reports whether the targets reject an order whose fencing number
	// is lower than one they have seen.
	ChecksFencing bool `cbor:"3,keyasint,omitempty" json:"checks_fencing,omitempty" yaml:"checks_fencing,omitempty"`
	// Repeatable reports whether calls are idempotent, so that a call may be sent
	// again if its outcome is unknown. Calls to other services are dispatched at
	// most once.
	Repeatable bool `cbor:"4,keyasint,omitempty" json:"repeatable,omitempty" yaml:"repeatable,omitempty"`
	// Slots is the number of streams that one target serves well at the same time.
	Slots int `cbor:"5,keyasint,omitempty" json:"slots,omitempty" yaml:"slots,omitempty"`
	// LongestOrder is the longest time that a target works on an order.
	LongestOrder time.Duration `cbor:"6,keyasint,omitempty" json:"longest_order,omitempty" yaml:"longest_order,omitempty"`
	// Role is the role assigned to the targets of this service, such as "mixed",
	// "prefill" or "decode".
	Role string `cbor:"7,keyasint,omitempty" json:"role,omitempty" yaml:"role,omitempty"`
}

// DomainShare determines the part of each organisation's rate and burst that a
// failure domain serves while it is isolated from the others.
type DomainShare struct {
	// Domain is the name of the failure domain in the settings of its instances.
	Domain Domain `cbor:"1,keyasint" json:"domain" yaml:"domain"`
	// Region groups failure domains that are close to each other.
	Region string `cbor:"2,keyasint,omitempty" json:"region,omitempty" yaml:"region,omitempty"`
	// Share is the relative weight: a domain serves Share ÷ the sum of all shares.
	Share float64 `cbor:"3,keyasint" json:"share" yaml:"share"`
}

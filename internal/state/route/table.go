package route

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table answers look-ups in one Config.
type Table struct {
	config   Config
	byHost   map[string][]*Route
	services map[string]*Service
	bySecret map[string]*Organisation
	byName   map[string]*Organisation
	// meanRate is the mean rate of the organisations that have one, 1 if none has.
	meanRate float64
}

// NewTable builds the look-up table of a configuration.
func NewTable(config Config) *Table {
	t := &Table{
		config:   config,
		byHost:   map[string][]*Route{},
		services: map[string]*Service{},
		bySecret: map[string]*Organisation{},
		byName:   map[string]*Organisation{},
	}
	for i := range config.Routes {
		r := &config.Routes[i]
		t.byHost[hostKey(r.Host)] = append(t.byHost[hostKey(r.Host)], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range config.Services {
		t.services[config.Services[i].Name] = &config.Services[i]
	}
	for i := range config.Organisations {
		o := &config.Organisations[i]
		t.byName[o.Name] = o
		for _, secret := range o.Secrets {
			t.bySecret[secret] = o
		}
	}
	t.meanRate = meanRate(config.Organisations)
	return t
}

// meanRate returns the mean rate of the organisations that have one, 1 if none has.
func meanRate(list []Organisation) float64 {
	sum, limited := 0.0, 0
	for i := range list {
		if list[i].Rate > 0 {
			sum += list[i].Rate
			limited++
		}
	}
	if limited == 0 {
		return 1
	}
	return sum / float64(limited)
}

// Weight returns the weight of an organisation's requests where slots are divided among
// organisations: its rate, or the mean of the limited ones if it has none or there is no
// organisation.
func (t *Table) Weight(o *Organisation) float64 {
	if o == nil || o.Rate <= 0 {
		return t.meanRate
	}
	return o.Rate
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.config.Version }

// Limits returns the bounds on what callers send.
func (t *Table) Limits() Limits { return t.config.Limits }

// RequiresKey says that requests of routes that are not public need a key.
func (t *Table) RequiresKey() bool { return len(t.config.Organisations) > 0 }

// Organisations returns all organisations.
func (t *Table) Organisations() []Organisation { return t.config.Organisations }

// Services returns all services.
func (t *Table) Services() []Service { return t.config.Services }

// Match returns the route of a host with the longest prefix of a path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[hostKey(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// HasBatchRoute says that a host has a route that accepts jobs.
func (t *Table) HasBatchRoute(host string) bool {
	return slices.ContainsFunc(t.byHost[hostKey(host)], func(r *Route) bool { return r.Kind == Batch })
}

// HasAnyBatchRoute says that any host has a route that accepts jobs.
func (t *Table) HasAnyBatchRoute() bool {
	return slices.ContainsFunc(t.config.Routes, func(r Route) bool { return r.Kind == Batch })
}

// OrganisationBySecret returns the organisation that a secret belongs to.
func (t *Table) OrganisationBySecret(secret string) (*Organisation, bool) {
	o, ok := t.bySecret[secret]
	return o, ok
}

// Organisation returns the organisation with a name.
func (t *Table) Organisation(name string) (*Organisation, bool) {
	o, ok := t.byName[name]
	return o, ok
}

// Service returns the service with a name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Choose returns the service for a request of a route. All instances choose the same
// service for a request id, at each attempt.
func (r *Route) Choose(requestID string) (string, bool) {
	total := 0.0
	for _, w := range r.Split {
		total += w.Weight
	}
	if total <= 0 {
		return "", false
	}
	const resolution = 1 << 53
	point := float64(xxhash.Sum64String(requestID)%resolution) / resolution * total
	for _, w := range r.Split {
		if point < w.Weight {
			return w.Service, true
		}
		point -= w.Weight
	}
	return r.Split[len(r.Split)-1].Service, true
}

// SameHost says that two hosts differ at most in their ports and in case.
func SameHost(a, b string) bool { return hostKey(a) == hostKey(b) }

// hostKey is a host without its port, in lower case.
func hostKey(host string) string {
	host, _, _ = strings.Cut(host, ":")
	return strings.ToLower(host)
}

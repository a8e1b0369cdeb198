package policybench

import (
	"fmt"
	"math"

	"merlintiller/internal/protocol"
)

// user is a fleet of one of the users' sizes.
type user struct {
	name    string
	service protocol.ServiceName
	domains []protocol.Domain
	// instances is the number of entry instances, spread over the domains.
	instances int
	targets   int
	// rates are the organisations' rates in requests a second.
	rates []float64
	seed  uint64
}

// users are both users' sizes of today.
func users() []user {
	return []user{
		{
			name: "cascadia", service: "tiller-reports", instances: 12, targets: 10, seed: 1,
			domains: []protocol.Domain{"pnw-sea", "pnw-pdx", "pnw-spk"},
			rates:   []float64{60, 40, 25, 12, 8, 6, 4, 3, 2, 1},
		},
		{
			name: "dobrescu", service: "dispecer-lm", instances: 12, targets: 10, seed: 2,
			domains: []protocol.Domain{"ploiesti", "bucuresti-s4", "targoviste"},
			rates:   []float64{80, 20, 20, 15, 10, 5, 5, 2, 1, 0.5},
		},
	}
}

// burstSeconds is an organisation's burst in seconds of its rate.
const burstSeconds = 3

func (u user) organisation(i int) protocol.Organisation {
	return protocol.Organisation{
		ID:    protocol.OrganisationID(fmt.Sprintf("org-%02d", i)),
		Rate:  u.rates[i],
		Burst: math.Max(5, burstSeconds*u.rates[i]),
	}
}

func (u user) fleet() *protocol.Fleet {
	fleet := &protocol.Fleet{
		Version:       1,
		Organisations: map[protocol.OrganisationID]protocol.Organisation{},
		Domains:       map[protocol.Domain]protocol.DomainShare{},
		Services:      map[protocol.ServiceName]protocol.Service{},
	}
	for i := range u.rates {
		org := u.organisation(i)
		fleet.Organisations[org.ID] = org
	}
	for _, domain := range u.domains {
		fleet.Domains[domain] = protocol.DomainShare{Domain: domain, Share: 1}
	}
	fleet.Services[u.service] = protocol.Service{Name: u.service, Slots: slotsPerTarget, Repeatable: true}
	return fleet
}

func (u user) instance(i int) protocol.InstanceID {
	return protocol.InstanceID(fmt.Sprintf("%s-%d", u.domains[i%len(u.domains)], i))
}

func (u user) domainOf(i int) protocol.Domain { return u.domains[i%len(u.domains)] }

// skew is how many times the requests of the last instance the first one gets
// from the balancer.
const skew = 10

// balancer chooses instances with the skew.
func (u user) balancer() []float64 {
	weights := make([]float64, u.instances)
	for i := range weights {
		weights[i] = math.Pow(skew, float64(i)/float64(u.instances-1))
	}
	return weights
}

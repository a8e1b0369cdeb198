package policybench

import (
	"fmt"
	"math"

	"merlintiller/internal/protocol"
)

// deployment describes the size and the rates of one fleet.
type deployment struct {
	name    string
	service protocol.ServiceName
	domains []protocol.Domain
	// instances is the number of instances, spread evenly over the domains.
	instances int
	targets   int
	// rates are the rates of the organisations in requests per second.
	rates []float64
	seed  uint64
}

// deployments returns the two production deployments at their present size.
func deployments() []deployment {
	return []deployment{
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

// burstSeconds is the burst of an organisation, in seconds of its rate.
const burstSeconds = 3

func (d deployment) organisation(i int) protocol.Organisation {
	return protocol.Organisation{
		ID:    protocol.OrganisationID(fmt.Sprintf("org-%02d", i)),
		Rate:  d.rates[i],
		Burst: math.Max(5, burstSeconds*d.rates[i]),
	}
}

func (d deployment) fleet() *protocol.Fleet {
	fleet := &protocol.Fleet{
		Version:       1,
		Organisations: map[protocol.OrganisationID]protocol.Organisation{},
		Domains:       map[protocol.Domain]protocol.DomainShare{},
		Services:      map[protocol.ServiceName]protocol.Service{},
	}
	for i := range d.rates {
		org := d.organisation(i)
		fleet.Organisations[org.ID] = org
	}
	for _, domain := range d.domains {
		fleet.Domains[domain] = protocol.DomainShare{Domain: domain, Share: 1}
	}
	fleet.Services[d.service] = protocol.Service{Name: d.service, Slots: slotsPerTarget, Repeatable: true}
	return fleet
}

func (d deployment) instanceID(i int) protocol.InstanceID {
	return protocol.InstanceID(fmt.Sprintf("%s-%d", d.domains[i%len(d.domains)], i))
}

func (d deployment) domainOf(i int) protocol.Domain { return d.domains[i%len(d.domains)] }

// balancerSkew is the ratio between the highest and the lowest number of requests
// that the load balancer sends to an instance.
const balancerSkew = 10

// balancerWeights returns the share of requests that each instance receives. The
// weights grow geometrically, up to balancerSkew times that of the first instance.
func (d deployment) balancerWeights() []float64 {
	weights := make([]float64, d.instances)
	for i := range weights {
		weights[i] = math.Pow(balancerSkew, float64(i)/float64(d.instances-1))
	}
	return weights
}

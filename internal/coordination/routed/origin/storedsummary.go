package origin

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"merlintiller/internal/protocol"
)

// storedSummary is a summary as it is in the store, with CBOR. Failure domains are numbered, since most
// versions serve in all of them.
type storedSummary struct {
	Mark    int64    `cbor:"1,keyasint"`
	Domains []string `cbor:"2,keyasint,omitempty"`
	// Services has, by service and version, the numbers of failure domains in Domains.
	Services   map[string]map[string][]int `cbor:"3,keyasint,omitempty"`
	Incomplete bool                        `cbor:"4,keyasint,omitempty"`
}

func encodeSummary(s *summary) ([]byte, error) {
	numbers := map[string]int{}
	stored := storedSummary{Mark: s.Mark, Services: map[string]map[string][]int{}, Incomplete: s.Incomplete}
	for _, service := range slices.Sorted(maps.Keys(s.Services)) {
		versions := map[string][]int{}
		for version, domains := range s.Services[service] {
			for _, domain := range domains {
				if _, numbered := numbers[domain]; !numbered {
					numbers[domain] = len(stored.Domains)
					stored.Domains = append(stored.Domains, domain)
				}
				versions[version] = append(versions[version], numbers[domain])
			}
		}
		stored.Services[service] = versions
	}
	return cbor.Marshal(&stored)
}

func decodeSummary(value []byte) (*summary, error) {
	var stored storedSummary
	if err := protocol.UnmarshalOpaque(value, &stored); err != nil {
		return nil, trace.Wrap(err, "decoding the summary of versions")
	}
	s := &summary{Mark: stored.Mark, Services: VersionSet{}, Incomplete: stored.Incomplete}
	for service, versions := range stored.Services {
		for version, numbers := range versions {
			for _, number := range numbers {
				if number < 0 || number >= len(stored.Domains) {
					return nil, trace.BadParameter("summary of versions names failure domain %d of %d", number, len(stored.Domains))
				}
				s.Services.add(service, version, stored.Domains[number])
			}
		}
	}
	return s, nil
}

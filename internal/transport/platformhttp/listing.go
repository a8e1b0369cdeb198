package platformhttp

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"merlintiller/internal/external"
)

// listingWire is the platform's list, line by line.
type listingWire struct {
	Targets   []json.RawMessage `json:"targets"`
	Instances []json.RawMessage `json:"instances"`
}

// decodeListing decodes the platform's list. Lines that can't be read are left out and counted: one of them must not
// keep an instance from learning that a target leaves.
func decodeListing(body []byte) (external.Listing, error) {
	var wire listingWire
	if err := json.Unmarshal(body, &wire); err != nil {
		return external.Listing{}, err
	}
	var out external.Listing
	for _, line := range wire.Targets {
		var target external.ListedTarget
		if json.Unmarshal(line, &target) != nil || target.ID == "" || checkAddress(target.Address) != nil {
			out.Unreadable++
			continue
		}
		out.Targets = append(out.Targets, target)
	}
	for _, line := range wire.Instances {
		var instance external.ListedInstance
		if json.Unmarshal(line, &instance) != nil || instance.ID == "" || checkAddress(instance.Address) != nil {
			out.Unreadable++
			continue
		}
		out.Instances = append(out.Instances, instance)
	}
	return out, nil
}

// checkAddress returns an error unless an address is "ip:port" with a port that can be connected to. A line may have
// none.
func checkAddress(address string) error {
	if address == "" {
		return nil
	}
	parsed, err := netip.ParseAddrPort(address)
	if err == nil && parsed.Port() == 0 {
		err = fmt.Errorf("port 0 in %s", address)
	}
	return err
}

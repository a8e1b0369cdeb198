package harness

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// Counter returns a number from an expvar map of the instance.
func (i *Instance) Counter(group, name string) (float64, error) {
	resp, err := http.Get("http://" + i.Operators + "/debug/vars")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var vars map[string]json.RawMessage
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		return 0, err
	}
	var counters map[string]json.RawMessage
	if err := json.Unmarshal(vars[group], &counters); err != nil {
		return 0, fmt.Errorf("expvar %s: %w", group, err)
	}
	var value float64
	if err := json.Unmarshal(counters[name], &value); err != nil {
		return 0, fmt.Errorf("expvar %s.%s: %w", group, name, err)
	}
	return value, nil
}

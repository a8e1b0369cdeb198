package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"merlintiller/internal/coordination/fleetstatus"
	"merlintiller/internal/standin/target"
	"merlintiller/internal/transport/operatorapi"
)

// Status returns the fleet status as an instance reports it.
func (f *Fleet) Status(ctx context.Context, i *Instance) (fleetstatus.Status, error) {
	var status fleetstatus.Status
	err := f.getJSON(ctx, "http://"+i.Operators+operatorapi.PathStatus, &status)
	return status, err
}

// OwnStatus returns the status that an instance reports of itself.
func (f *Fleet) OwnStatus(ctx context.Context, i *Instance) (fleetstatus.Instance, error) {
	status, err := f.Status(ctx, i)
	if err != nil {
		return fleetstatus.Instance{}, err
	}
	for _, instance := range status.Instances {
		if instance.Instance == i.ID {
			return instance, nil
		}
	}
	return fleetstatus.Instance{}, fmt.Errorf("instance %s does not list itself", i.ID)
}

// Executions returns the counts of calls that a target executed.
func (f *Fleet) Executions(ctx context.Context, t *Target) (target.Executions, error) {
	var runs target.Executions
	err := f.getJSON(ctx, "http://"+t.Listed.Address+"/executions", &runs)
	return runs, err
}

// SetTargetFaults sets the injected faults of a target.
func (f *Fleet) SetTargetFaults(ctx context.Context, t *Target, faults target.Faults) error {
	return sendJSON(ctx, http.MethodPost, "http://"+t.Listed.Address+"/faults", faults)
}

func (f *Fleet) getJSON(ctx context.Context, url string, value any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+f.OperatorSecret)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: status %d", url, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(value)
}

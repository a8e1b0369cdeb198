package harness

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/platformsrv"
)

// readyTimeout only ends a test that hangs: an instance is ready within a second.
const readyTimeout = 60 * time.Second

// pollPeriod is the interval at which the harness checks whether a process is
// ready.
const pollPeriod = 50 * time.Millisecond

// TargetGroup describes a number of identical targets to start.
type TargetGroup struct {
	Service protocol.ServiceName
	Kind    protocol.ServiceKind
	Count   int
	// Args holds additional flags of `standin target`.
	Args []string
}

// Options describes a fleet on loopback.
type Options struct {
	// Dir is the folder for settings and logs, Bin that of the built programs.
	Dir, Bin  string
	Domains   []protocol.Domain
	PerDomain int
	Targets   []TargetGroup
	// PlatformArgs holds additional flags of `standin platform`.
	PlatformArgs []string
	// Settings holds additional lines of every settings file.
	Settings string
}

// Instance is an entry instance that runs as a process.
type Instance struct {
	ID     protocol.InstanceID
	Domain protocol.Domain
	// Callers, Peers and Operators are the listen addresses for them.
	Callers   string
	Peers     string
	Operators string
	Process   *Process
	settings  string
}

// Target is a simulated target that runs as a process.
type Target struct {
	// Listed is the target's entry on the platform's list.
	Listed  external.ListedTarget
	Process *Process
}

// Fleet is a running system of platform, targets and instances.
type Fleet struct {
	opts     Options
	Platform *Process
	// Addresses holds the platform's address for each failure domain.
	Addresses map[protocol.Domain]string
	Instances []*Instance
	Targets   []*Target
	// OperatorSecret authorises operator calls to every instance.
	OperatorSecret string
}

// StartFleet starts the platform, the targets and the instances, and waits until
// every instance is ready.
func StartFleet(ctx context.Context, opts Options) (*Fleet, error) {
	if err := os.MkdirAll(opts.Dir, 0o755); err != nil {
		return nil, err
	}
	f := &Fleet{opts: opts, Addresses: map[protocol.Domain]string{}, OperatorSecret: rand.Text()}
	for _, start := range []func(context.Context) error{f.startPlatform, f.startTargets, f.startInstances} {
		if err := start(ctx); err != nil {
			f.Kill()
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	addresses, err := FreeAddresses(len(f.opts.Domains))
	if err != nil {
		return err
	}
	args := append([]string{"platform"}, f.opts.PlatformArgs...)
	for i, domain := range f.opts.Domains {
		f.Addresses[domain] = addresses[i]
		args = append(args, fmt.Sprintf("--listen=%s=%s", domain, addresses[i]))
	}
	f.Platform, err = StartProcess(f.opts.Dir, "platform", f.program("standin"), args...)
	if err != nil {
		return err
	}
	for _, address := range addresses {
		if err := waitStatus(ctx, "http://"+address+"/list", http.StatusOK); err != nil {
			return fmt.Errorf("platform: %w", err)
		}
	}
	return nil
}

func (f *Fleet) program(name string) string { return filepath.Join(f.opts.Bin, name) }

func (f *Fleet) startTargets(ctx context.Context) error {
	for _, group := range f.opts.Targets {
		for i := range group.Count {
			domain := f.opts.Domains[i%len(f.opts.Domains)]
			if err := f.startTarget(ctx, group, i, domain); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) startTarget(ctx context.Context, group TargetGroup, number int, domain protocol.Domain) error {
	address, err := FreeAddress()
	if err != nil {
		return err
	}
	listed := external.ListedTarget{
		ID:      protocol.TargetID(fmt.Sprintf("%s-%d", group.Service, number)),
		Service: group.Service,
		Domain:  domain,
		Address: address,
	}
	args := []string{
		"target",
		"--id=" + string(listed.ID),
		"--service=" + string(listed.Service),
		"--domain=" + string(domain),
		"--kind=" + string(group.Kind),
		"--listen=" + address,
	}
	process, err := StartProcess(f.opts.Dir, string(listed.ID), f.program("standin"), append(args, group.Args...)...)
	if err != nil {
		return err
	}
	f.Targets = append(f.Targets, &Target{Listed: listed, Process: process})
	return f.ListTarget(ctx, listed)
}

// ListTarget adds a target to the platform's list.
func (f *Fleet) ListTarget(ctx context.Context, target external.ListedTarget) error {
	address := f.Addresses[f.opts.Domains[0]]
	return sendJSON(ctx, http.MethodPut, "http://"+address+"/list/targets/"+string(target.ID), target)
}

// SetFaults sets the injected faults of the platform.
func (f *Fleet) SetFaults(ctx context.Context, faults platformsrv.Faults) error {
	address := f.Addresses[f.opts.Domains[0]]
	return sendJSON(ctx, http.MethodPost, "http://"+address+"/faults", faults)
}

func (f *Fleet) startInstances(ctx context.Context) error {
	for number := range f.opts.PerDomain {
		for _, domain := range f.opts.Domains {
			id := protocol.InstanceID(fmt.Sprintf("%s-%d", domain, number))
			if err := f.AddInstance(id, domain); err != nil {
				return err
			}
		}
	}
	return f.WaitReady(ctx)
}

// AddInstance starts another instance on new addresses.
func (f *Fleet) AddInstance(id protocol.InstanceID, domain protocol.Domain) error {
	addresses, err := FreeAddresses(3)
	if err != nil {
		return err
	}
	instance := &Instance{
		ID: id, Domain: domain,
		Callers: addresses[0], Peers: addresses[1], Operators: addresses[2],
		settings: filepath.Join(f.opts.Dir, string(id)+".yaml"),
	}
	if err := os.WriteFile(instance.settings, f.settingsFile(instance), 0o600); err != nil {
		return err
	}
	f.Instances = append(f.Instances, instance)
	return f.Restart(instance)
}

func (f *Fleet) settingsFile(i *Instance) []byte {
	hash := sha256.Sum256([]byte(f.OperatorSecret))
	platformAddress := f.Addresses[i.Domain]
	var out bytes.Buffer
	fmt.Fprintf(&out, "instance: %s\ndomain: %s\n", i.ID, i.Domain)
	fmt.Fprintf(&out, "listen:\n  callers: %s\n  peers: %s\n  operators: %s\n", i.Callers, i.Peers, i.Operators)
	fmt.Fprintf(&out, "platform:\n  log: %[1]s\n  list: %[1]s\n  weights: %[1]s\n", platformAddress)
	fmt.Fprintf(&out, "operator_keys:\n  - id: harness\n    sha256: %s\n", hex.EncodeToString(hash[:]))
	out.WriteString(f.opts.Settings)
	return out.Bytes()
}

// Restart starts a new process of an instance with the same settings.
func (f *Fleet) Restart(i *Instance) error {
	process, err := StartProcess(f.opts.Dir, string(i.ID), f.program("tillerd"), "--settings="+i.settings)
	if err != nil {
		return err
	}
	i.Process = process
	return nil
}

// WaitReady waits until every running instance reports that it is ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, instance := range f.Instances {
		if instance.Process.Exited() {
			continue
		}
		if err := waitStatus(ctx, "http://"+instance.Callers+"/readyz", http.StatusOK); err != nil {
			return fmt.Errorf("instance %s (%s): %w", instance.ID, instance.Process.describe(), err)
		}
	}
	return nil
}

// Stop stops all instances gracefully and then kills the other processes.
func (f *Fleet) Stop() error {
	var mu sync.Mutex
	var failed error
	var stopping sync.WaitGroup
	for _, instance := range f.Instances {
		if instance.Process.Exited() {
			continue
		}
		stopping.Go(func() {
			err := instance.Process.Stop()
			mu.Lock()
			defer mu.Unlock()
			failed = errors.Join(failed, err)
		})
	}
	stopping.Wait()
	f.Kill()
	return failed
}

// Kill kills every process.
func (f *Fleet) Kill() {
	for _, instance := range f.Instances {
		if instance.Process != nil {
			instance.Process.Kill()
		}
	}
	for _, target := range f.Targets {
		target.Process.Kill()
	}
	if f.Platform != nil {
		f.Platform.Kill()
	}
}

func waitStatus(ctx context.Context, url string, want int) error {
	for {
		resp, err := http.Get(url)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == want {
				return nil
			}
			err = fmt.Errorf("status %d", resp.StatusCode)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting for %s: %w: %w", url, ctx.Err(), err)
		case <-time.After(pollPeriod):
		}
	}
}

func sendJSON(ctx context.Context, method, url string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("%s %s: status %d", method, url, resp.StatusCode)
	}
	return nil
}

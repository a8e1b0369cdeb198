package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
)

// Ctl runs tillerctl and returns its standard output.
func (f *Fleet) Ctl(ctx context.Context, callerSecret string, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, f.program("tillerctl"), args...)
	cmd.Env = append(os.Environ(), "TILLER_OPERATOR_SECRET="+f.OperatorSecret, "TILLER_CALLER_SECRET="+callerSecret)
	var out, stderr bytes.Buffer
	cmd.Stdout = &out
	cmd.Stderr = &stderr
	if err := cmd.Run(); err != nil {
		return out.String(), fmt.Errorf("tillerctl %v: %w: %s", args, err, stderr.String())
	}
	return out.String(), nil
}

// OperatorFlags returns --instance flags with the operator addresses of the running
// instances.
func (f *Fleet) OperatorFlags() []string {
	return f.flags(func(i *Instance) string { return i.Operators })
}

// CallerFlags returns --instance flags with the caller addresses of the running
// instances.
func (f *Fleet) CallerFlags() []string {
	return f.flags(func(i *Instance) string { return i.Callers })
}

func (f *Fleet) flags(address func(*Instance) string) []string {
	var flags []string
	for _, instance := range f.Instances {
		if !instance.Process.Exited() {
			flags = append(flags, "--instance="+address(instance))
		}
	}
	return flags
}

// CreateKey creates a key for an organisation and returns its secret.
func (f *Fleet) CreateKey(ctx context.Context, organisation string) (string, error) {
	args := append([]string{"key", "create", organisation, "--output=json"}, f.OperatorFlags()...)
	out, err := f.Ctl(ctx, "", args...)
	if err != nil {
		return "", err
	}
	var created struct{ Secret string }
	if err := json.Unmarshal([]byte(out), &created); err != nil {
		return "", fmt.Errorf("key create: %w", err)
	}
	return created.Secret, nil
}

package settings

import (
	"errors"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/strictyaml"
)

const validRouted = `instance: sea-1
domain: pnw-sea
listen:
  callers: 10.0.0.1:8001
  readiness: 10.0.0.1:8002
  peers: 10.0.0.1:8003
store:
  address: 10.0.9.1:9000
`

func TestRoutedFileKeepsDefaults(t *testing.T) {
	s, err := ParseRouted("s.yaml", []byte(validRouted))
	require.NoError(t, err)
	require.Equal(t, DefaultRouted().DrainNotice, s.DrainNotice)
	require.Equal(t, DefaultRouted().Store.Timeout, s.Store.Timeout)
	require.Zero(t, s.Adaptive.AnswerBuffersPercent, "off unless it is set")
}

// Some deployments give a process a shorter grace time than usual. If the default
// drain notice did not fit and the file were rejected, the process would not start.
// If the notice took the whole grace time, each shutdown would interrupt requests.
func TestShortGraceShortensTheNotice(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 30 * time.Second} {
		s, err := ParseRouted("s.yaml", []byte(validRouted+"grace: "+grace.String()+"\n"))
		require.NoError(t, err, grace)
		require.LessOrEqual(t, s.DrainNotice, grace/2)
		require.Positive(t, s.DrainNotice)
	}
}

// Guards against settings that their documentation says can be turned off, but whose 0 is rejected.
func TestSettingsCanBeTurnedOff(t *testing.T) {
	s, err := ParseRouted("s.yaml", []byte(validRouted+"max_scheduling_lag: 0s\nadaptive:\n  pace_max_age: 0s\n"))
	require.NoError(t, err)
	require.Zero(t, s.MaxSchedulingLag)
	require.Zero(t, s.Adaptive.PaceMaxAge)
	require.Equal(t, time.Second, DefaultRouted().Adaptive.PaceMaxAge)
}

// Guards against a part that the settings can't turn off, and one that a file without the section turns
// off.
func TestExpectedTimesCanBeTurnedOff(t *testing.T) {
	for text, on := range map[string]bool{"": true, "adaptive:\n  expected_times: true\n": true, "adaptive:\n  expected_times: false\n": false} {
		s, err := ParseRouted("s.yaml", []byte(validRouted+text))
		require.NoError(t, err, text)
		require.Equal(t, on, s.Adaptive.ExpectedTimes, text)
	}
	_, err := ParseRouted("s.yaml", []byte(validRouted+"adaptive:\n  expected_times: 3\n"))
	require.Error(t, err)
}

func TestMistakesInRoutedFiles(t *testing.T) {
	cases := map[string]struct{ old, new, want string }{
		"unknown field":        {"domain: pnw-sea", "domian: pnw-sea", "s.yaml:2: domian: unknown field; did you mean domain?"},
		"missing store":        {"store:\n  address: 10.0.9.1:9000\n", "", "store.address: is missing"},
		"same address":         {"peers: 10.0.0.1:8003", "peers: 10.0.0.1:8001", "s.yaml:6: listen.peers: 10.0.0.1:8001 is the address of listen.callers"},
		"host name of a store": {"address: 10.0.9.1:9000", "address: store:9000", "s.yaml:8: store.address: \"store:9000\" must be an IP address"},
		"long notice":          {"store:", "grace: 4s\ndrain_notice: 4s\nstore:", "s.yaml:8: drain_notice: 4s must be shorter than grace (4s)"},
		"small records":        {"store:", "store:\n  record_bytes: 100", "s.yaml:8: store.record_bytes: 100 must be at least 4096"},
		"negative buffers":     {"store:", "adaptive:\n  answer_buffers_percent: -1\nstore:", "s.yaml:8: adaptive.answer_buffers_percent: must not be negative"},
		"large buffers":        {"store:", "adaptive:\n  answer_buffers_percent: 51\nstore:", "s.yaml:8: adaptive.answer_buffers_percent: 51 must be at most 50"},
		"old paces":            {"store:", "adaptive:\n  pace_max_age: 11s\nstore:", "s.yaml:8: adaptive.pace_max_age: 11s must be at most 10s"},
		"negative pace age":    {"store:", "adaptive:\n  pace_max_age: -1s\nstore:", "s.yaml:8: adaptive.pace_max_age: must not be negative"},
		"no seeds":             {"store:", "seeds: [nobody]\nstore:", "s.yaml:7: seeds[0]: \"nobody\" must be an IP address"},
		"spaces":               {"instance: sea-1", "instance: sea 1", "s.yaml:1: instance: \"sea 1\" must not contain spaces"},
		"empty":                {validRouted, "", "is empty"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(validRouted, c.old, c.new, 1)
			require.NotEqual(t, validRouted, text)
			_, err := ParseRouted("s.yaml", []byte(text))
			require.ErrorContains(t, err, c.want)
			var problems strictyaml.Problems
			require.True(t, errors.As(err, &problems))
		})
	}
}

var (
	seedsSection           = regexp.MustCompile(`\{\{#seeds\}\}.*\{\{/seeds\}\}`)
	resultsReadableSection = regexp.MustCompile(`\{\{#bounds.status_s\}\}(.*)\{\{\.\}\}(.*)\{\{/bounds.status_s\}\}`)
	placeholder            = regexp.MustCompile(`\{\{([a-z_.]+)\}\}`)
)

// The platform fills in the template at every start, so a mistake in it would keep
// every instance from starting. Fields that a deployment does not provide are empty.
func TestDeployedTemplateGivesSettings(t *testing.T) {
	template, err := os.ReadFile("../../deploy/settings.yaml")
	require.NoError(t, err)
	values := map[string]string{
		"node_name": "edge-a-1", "zone": "a", "ip": "10.1.0.2", "listen.front": "10.1.0.2:8689", "listen.ready": "10.1.0.2:8687",
		"listen.control": "10.1.0.2:8683", "platform.address": "10.2.0.7:8688", "platform.parts": "12",
		"platform.record_bytes": "262144", "platform.call_bytes": "2097152", "limits.memory_mb": "184", "limits.cpu_share": "0.192", "bounds.grace_s": "2.5",
	}
	for seeds, bound := range map[string]string{"": "", `"10.1.0.3:8683","10.1.0.4:8683"`: "${1}120${2}"} {
		text := seedsSection.ReplaceAllString(string(template), seeds)
		text = resultsReadableSection.ReplaceAllString(text, bound)
		text = placeholder.ReplaceAllStringFunc(text, func(found string) string {
			value, ok := values[placeholder.FindStringSubmatch(found)[1]]
			require.True(t, ok, found)
			return value
		})
		require.NotContains(t, text, "{{")
		s, err := ParseRouted("settings.yaml", []byte(text))
		require.NoError(t, err)
		require.Equal(t, 2500*time.Millisecond, s.Grace)
		require.Equal(t, 184, s.MemoryMB)
		require.Equal(t, 25, s.Adaptive.AnswerBuffersPercent)
		require.True(t, s.Adaptive.FairQueue)
		require.False(t, DefaultRouted().Adaptive.FairQueue)
		require.False(t, s.Adaptive.BatchForecast, "its bound on preempted runs is not met yet")
		require.InDelta(t, 0.192, s.CPUCores, 0)
		require.Equal(t, bound != "", s.ResultsReadable == 2*time.Minute)
	}
}

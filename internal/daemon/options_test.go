package daemon

import (
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/settings"
)

// wired are the settings that the duties get without a mapping of their own.
var wired = map[string]bool{
	"Instance": true, "Domain": true, "Listen": true, "Seeds": true, "Platform": true, "TLS": true,
	"OperatorKeys": true, "Limiter": true, "Admission": true, "Headroom": true, "Log": true,
	"Timings.Heartbeat": true, "Timings.PeerTimeout": true,
	"Timings.DrainLimit": true, "Calls.ReserveTimeout": true, "Calls.OutcomeRetention": true,
}

func mapped(s *settings.Settings) []any {
	return []any{journalTimings(s.Timings), viewLimits(s.Timings), batchOptions(s), onlinePolicy(s.Calls), routingOptions(s), pollOptions(s), edgeLimits(s)}
}

// A setting is added and documented, and nobody passes it on. An operator
// changes it under pressure and nothing happens. Each setting that is changed
// here must change what some duty is given.
func TestEverySettingReachesADuty(t *testing.T) {
	before := mapped(settings.Default())
	var visit func(path string, of func(*settings.Settings) reflect.Value)
	visit = func(path string, of func(*settings.Settings) reflect.Value) {
		if wired[path] {
			return
		}
		s := settings.Default()
		value := of(s)
		if value.Kind() == reflect.Struct {
			for i := range value.NumField() {
				name := value.Type().Field(i).Name
				visit(joined(path, name), func(s *settings.Settings) reflect.Value { return of(s).Field(i) })
			}
			return
		}
		change(value)
		require.NotEqual(t, before, mapped(s), "nobody reads %s", path)
	}
	visit("", func(s *settings.Settings) reflect.Value { return reflect.ValueOf(s).Elem() })
}

func joined(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func change(value reflect.Value) {
	switch value.Kind() {
	case reflect.Int, reflect.Int64:
		value.SetInt(value.Int() + 1)
	case reflect.Float64:
		value.SetFloat(value.Float() + 0.125)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
	default:
		value.SetString(value.String() + "x")
	}
}

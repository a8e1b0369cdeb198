package daemon

import (
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/settings"
)

// directSettings are the settings that components receive without one of the mapping
// functions.
var directSettings = map[string]bool{
	"Instance": true, "Domain": true, "Listen": true, "Seeds": true, "Platform": true, "TLS": true,
	"OperatorKeys": true, "Limiter": true, "Admission": true, "Headroom": true, "Log": true,
	"Timings.Heartbeat": true, "Timings.PeerTimeout": true,
	"Timings.DrainLimit": true, "Calls.ReserveTimeout": true, "Calls.OutcomeRetention": true,
}

func mappedOptions(s *settings.Settings) []any {
	return []any{journalTimings(s.Timings), viewLimits(s.Timings), batchOptions(s), onlinePolicy(s.Calls), routingOptions(s), pollOptions(s), edgeLimits(s), inputLimitsOf(s.Limits)}
}

// Guards against a setting that is documented but not passed to any component, so that an
// operator changes it without effect. A change of any setting must change the options of
// some component.
func TestEverySettingIsUsed(t *testing.T) {
	before := mappedOptions(settings.Default())
	var visit func(path string, of func(*settings.Settings) reflect.Value)
	visit = func(path string, of func(*settings.Settings) reflect.Value) {
		if directSettings[path] {
			return
		}
		s := settings.Default()
		value := of(s)
		if value.Kind() == reflect.Struct {
			for i := range value.NumField() {
				name := value.Type().Field(i).Name
				visit(joinPath(path, name), func(s *settings.Settings) reflect.Value { return of(s).Field(i) })
			}
			return
		}
		changeValue(value)
		require.NotEqual(t, before, mappedOptions(s), "setting %s is not used", path)
	}
	visit("", func(s *settings.Settings) reflect.Value { return reflect.ValueOf(s).Elem() })
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func changeValue(value reflect.Value) {
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

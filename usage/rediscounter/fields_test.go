package rediscounter

import (
	"errors"
	"testing"
	"time"

	"yardcleat.example/yardcleat/usage"
)

// Guards against accepting a total with a field that no gateway can have written: decoding must fail
// with an error that names the field.
func TestMalformedFieldIsRejected(t *testing.T) {
	key := usage.TotalKey{Customer: "bibl-a", Window: 177}
	for name, value := range map[string]string{"3": "1", "x.z": "1", "3.-": "1", "3.z": "-1", "4.z": "1.5", "5.z": ""} {
		response, err := decodeTotal(key, map[string]string{name: value})
		var malformed *MalformedFieldError
		if !errors.As(err, &malformed) {
			t.Errorf("%q = %q decoded to %+v, %v", name, value, response, err)
		} else if want := (MalformedFieldError{"yt:{bibl-a}:177", name, value}); *malformed != want {
			t.Errorf("error %+v, want %+v", *malformed, want)
		}
	}
}

// Guards against rejecting a total because of a malformed level: the level is ignored and the entries
// are decoded.
func TestMalformedLevelIsIgnored(t *testing.T) {
	for _, value := range []string{"", "12.5", "@1", "12.5@", "x@1", "12.5@1.5"} {
		response, err := decodeTotal(usage.TotalKey{}, map[string]string{"level": value, "3.z": "1"})
		if err != nil || response.Level != (usage.Level{}) || len(response.Entries) != 1 {
			t.Errorf("%q decoded to %+v, %v", value, response, err)
		}
	}
	want := usage.Level{Units: 12.5, At: time.UnixMilli(1764662400000)}
	if got := parseLevel(encodeLevel(want)); got != want {
		t.Errorf("level decoded to %+v, want %+v", got, want)
	}
}

package extauthz

import "testing"

// Fields that tell a proxy of its attempt have exactly these names.
func TestFieldNamesAreGolden(t *testing.T) {
	for got, want := range map[string]string{FieldServer: "x-envoy-original-dst-host", FieldAttempt: "x-yardcleat-attempt",
		FieldTimeout: "x-envoy-upstream-rq-timeout-ms"} {
		if got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}

package extauthz

import "testing"

// The names of the header fields that a proxy gets with a permit are part of the protocol with it.
func TestFieldNamesAreGolden(t *testing.T) {
	for got, want := range map[string]string{FieldServer: "x-envoy-original-dst-host", FieldAttempt: "x-yardcleat-attempt",
		FieldTimeout: "x-envoy-upstream-rq-timeout-ms"} {
		if got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}

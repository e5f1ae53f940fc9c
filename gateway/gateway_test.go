package gateway

import (
	"strings"
	"testing"
)

func TestRequestIsAuthorizedAndServed(t *testing.T) {
	runInTestBed(t, "", func(bed *testBed) {
		if g := bed.do("GET", "/records/1", "k-school"); g.status != 200 || !strings.Contains(g.body, `"class":"lookup"`) {
			t.Errorf("lookup: %+v", g)
		}
		if g := bed.do("POST", "/loans/1", "k-school", "Idempotency-Key", "k1"); g.status != 200 {
			t.Errorf("loan-change: %+v", g)
		}
		if n := bed.authorizer.CheckCount(); n != 1 {
			t.Errorf("%d Checks, want 1: lookup is not put to the authoriser", n)
		}
		if n := len(bed.arrivedAttempts()); n != 2 {
			t.Errorf("%d attempts arrived, want 2", n)
		}
	})
}

func TestInvalidRequestsAreRejectedBeforeThePolicy(t *testing.T) {
	runInTestBed(t, "", func(bed *testBed) {
		for _, c := range []struct {
			method, path, key string
			fields            []string
			status            int
			reason            string
		}{
			{"GET", "/records/1", "nobody", nil, 401, "unknown-key"},
			{"GET", "/elsewhere", "k-school", nil, 404, "no-route"},
			{"DELETE", "/records/1", "k-school", nil, 404, "no-route"},
			{"GET", "/records/../loans/1", "k-school", nil, 400, "bad-request"},
			{"GET", "/records/%2e%2E", "k-school", nil, 400, "bad-request"},
			{"GET", "/records/a%2fb", "k-school", nil, 400, "bad-request"},
			{"POST", "/loans/1", "k-school", nil, 400, "bad-request"}, // no key for a keyed class
			{"GET", "/records/1", "k-school", []string{"X-Envoy-Expected-Rq-Timeout-Ms", "soon"}, 400, "bad-request"},
			{"POST", "/loans/1", "k-denied", []string{"Idempotency-Key", "k"}, 403, "authorisation-denied"},
		} {
			g := bed.do(c.method, c.path, c.key, c.fields...)
			if g.status != c.status || g.header.Get("X-Yardcleat-Reason") != c.reason {
				t.Errorf("%s %s: status %d, reason %q; want %d, %q", c.method, c.path, g.status,
					g.header.Get("X-Yardcleat-Reason"), c.status, c.reason)
			}
		}
		if n := len(bed.arrivedAttempts()); n != 0 {
			t.Errorf("%d attempts arrived", n)
		}
	})
}

// A customer beyond its quota is told so, with the time to come back.
func TestCustomerOverQuotaIsRejectedWithRetryAfter(t *testing.T) {
	runInTestBed(t, "", func(bed *testBed) {
		served, refused := 0, 0
		for range 60 {
			switch g := bed.do("GET", "/records/1", "k-school", "X-Envoy-Expected-Rq-Timeout-Ms", "500"); {
			case g.status == 200:
				served++
			case g.status == 429 && g.header.Get("Retry-After") != "" && g.header.Get("X-Yardcleat-Reason") == "quota" &&
				strings.Contains(g.header.Get("RateLimit-Policy"), `"basic";q=20;w=2`):
				refused++
			default:
				t.Fatalf("%+v", g)
			}
		}
		if served < 20 || refused < 10 {
			t.Errorf("%d served and %d refused of 60 at once", served, refused)
		}
	})
}

package edgenode

import (
	"testing"
	"time"

	"yardcleat.example/yardcleat/policy"
)

// The steps of a shutdown must be in order and before SIGKILL, which depends on the longest deadline.
// Connections must be accepted for as long as clients may open them, and open requests must not be
// ended earlier than necessary.
func TestPlanShutdown(t *testing.T) {
	for _, c := range []struct{ longest, kill time.Duration }{
		{300 * time.Millisecond, time.Second}, {2 * time.Second, 2700 * time.Millisecond},
		{3 * time.Second, 3700 * time.Millisecond}, {9 * time.Second, 3700 * time.Millisecond}, {0, 700 * time.Millisecond},
	} {
		p := planShutdown([]policy.Class{{Deadline: c.longest / 2}, {Deadline: c.longest}})
		acceptsLongEnough := 400*time.Millisecond < p.stopAccepting
		inOrder := p.stopAccepting <= p.finalResponses && p.finalResponses < p.cutConnections && p.cutConnections < c.kill
		respondsLate := p.finalResponses >= c.kill-400*time.Millisecond
		if !acceptsLongEnough || !inOrder || !respondsLate {
			t.Errorf("longest %v, SIGKILL at %v: %+v", c.longest, c.kill, p)
		}
	}
}

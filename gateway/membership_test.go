package gateway

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/membership"
	"yardcleat.example/yardcleat/policy"
)

// withRosterGateway runs a test with a gateway of a fleet with a roster, whose peers do not exist. It
// returns the gateway's complete log.
func withRosterGateway(t *testing.T, test func(g *Gateway)) (logged string) {
	t.Helper()
	var log bytes.Buffer
	synctest.Test(t, func(t *testing.T) {
		g, err := Start(parseStateConfig(t, copyStateOfAnEarlierBuild(t)), Options{
			Network: network.NewMemory(time.Millisecond, 1).Host("node"),
			Seed:    1,
			Log:     slog.New(slog.NewTextHandler(&log, nil)),
		})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		test(g)
		g.Kill()
		time.Sleep(time.Minute) // let the timers of closed parts expire
	})
	return log.String()
}

// A node's own phase change must not be dropped while peers' announcements fill the queue of the
// membership loop.
func TestPhaseChangeIsNotDroppedBehindAnnouncements(t *testing.T) {
	withRosterGateway(t, func(g *Gateway) {
		busy := make(chan struct{})
		g.membership.submit(func() []membership.Action {
			<-busy
			return nil
		})
		time.Sleep(time.Millisecond)
		for range 2 * membershipQueueSize {
			g.membership.submitAnnouncement(1, membership.Announcement{Phase: membership.Serving})
		}
		g.changePhase((*membership.StateMachine).StartDraining)
		close(busy)
		time.Sleep(time.Second)
		if got := membershipPhase(g); got != membership.Draining {
			t.Errorf("phase %v, want draining", got)
		}
	})
}

// All actions of a membership step are executed, even if the node's event loop takes long to apply a
// resize.
func TestMembershipStepWaitsForASlowResize(t *testing.T) {
	logged := withRosterGateway(t, func(g *Gateway) {
		busy := make(chan struct{})
		g.node.Do(func() { <-busy })
		g.membership.submit(func() []membership.Action {
			return []membership.Action{membership.FleetResized{Gateways: 3}, membership.LogEvent{Message: "after the resize"}}
		})
		time.Sleep(8 * time.Second)
		close(busy)
		time.Sleep(time.Second)
	})
	if !strings.Contains(logged, "after the resize") {
		t.Error("the actions after the resize were dropped")
	}
}

// membershipPhase returns the node's phase, read in the membership loop.
func membershipPhase(g *Gateway) membership.Phase {
	phase := make(chan membership.Phase, 1)
	g.membership.submit(func() []membership.Action {
		phase <- g.membership.machine.Phase()
		return nil
	})
	return <-phase
}

// A node whose first endpoint list arrives after its listeners have opened enters the phase Serving then.
func TestNodeServesAfterFirstEndpointList(t *testing.T) {
	withRosterGateway(t, func(g *Gateway) {
		g.updateEndpoints(policy.SnapshotUpdate, nil)
		time.Sleep(time.Second)
		if got := membershipPhase(g); got != membership.Serving {
			t.Errorf("phase %v, want serving", got)
		}
	})
}

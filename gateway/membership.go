package gateway

import (
	"bytes"
	"context"
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/internal/snapshotfile"
	"yardcleat.example/yardcleat/membership"
	"yardcleat.example/yardcleat/peer"
)

const (
	// membershipTickInterval is the time between reads of the roster file, and between
	// ticks of the state machine.
	membershipTickInterval = 250 * time.Millisecond

	// membershipQueueSize is the maximum number of queued announcements. Further ones are dropped,
	// which is harmless because peers repeat them.
	membershipQueueSize = 256

	// stopTimeout is the maximum time that stop waits for the membership loop to handle the stop.
	// announcementFlushTime is the time that stop then leaves the transport's goroutine to send the
	// last announcement.
	stopTimeout           = time.Second
	announcementFlushTime = 20 * time.Millisecond
)

// membershipEvent passes one event to the state machine and returns the actions to execute. It
// runs in the loop's goroutine.
type membershipEvent func() []membership.Action

// membershipLoop is the goroutine that owns the membership state machine. It passes roster files
// and peers' announcements to the state machine and executes its actions one by one, in order: a
// snapshot is durable before the change that it records takes effect in the policy or is announced
// to a peer. Other goroutines call only submit, submitPhaseStep, receivePeerMessage, peerRestarted
// and stop.
type membershipLoop struct {
	gateway    *Gateway
	machine    *membership.StateMachine // used only in the loop's goroutine
	transport  *peer.AuthenticatedTransport
	events     chan membershipEvent
	rosterFile []byte // content of the roster file as last read

	phaseSteps  chan struct{} // signaled when queuedSteps is not empty
	mu          sync.Mutex    // guards queuedSteps
	queuedSteps []membershipEvent

	// restartedPeers are the peers of which no announcement has been queued since their restart. It is
	// used only in the transport's goroutine.
	restartedPeers map[int]bool
}

// newMembershipLoop returns the membership loop of a fleet with a roster. A snapshot that can't be
// read is treated as absent.
func (g *Gateway) newMembershipLoop() *membershipLoop {
	snapshot, err := loadMembershipSnapshot(g.cfg.StateDir)
	if err != nil {
		g.options.Log.Warn("membership snapshot unreadable; enforcing no quota share until a membership change completes", "error", err)
	}
	return &membershipLoop{
		gateway: g,
		machine: membership.NewStateMachine(membership.Settings{Name: g.cfg.Name, Snapshot: snapshot}),
		events:  make(chan membershipEvent, membershipQueueSize),

		phaseSteps:     make(chan struct{}, 1),
		restartedPeers: map[int]bool{},
	}
}

// run accepts the configured roster and handles events until the context ends. Events that
// are still queued then are dropped.
func (l *membershipLoop) run(ctx context.Context) {
	l.execute(ctx, l.machine.HandleRoster(time.Now(), *l.gateway.cfg.Roster))
	tick := time.NewTicker(membershipTickInterval)
	defer tick.Stop()
	for {
		select {
		case <-l.phaseSteps:
			for _, step := range l.takePhaseSteps() {
				l.execute(ctx, step())
			}
		case event := <-l.events:
			l.execute(ctx, event())
		case <-tick.C:
			l.reloadRoster(ctx)
			l.execute(ctx, l.machine.Tick(time.Now()))
		case <-ctx.Done():
			return
		}
	}
}

// submit queues an event. It does not block: if the queue is full, the event is dropped and submit
// returns false.
func (l *membershipLoop) submit(event membershipEvent) bool {
	select {
	case l.events <- event:
		return true
	default:
		return false
	}
}

// submitPhaseStep queues a change of this node's phase. It does not block. It never drops a step,
// because steps, unlike announcements, are not repeated.
func (l *membershipLoop) submitPhaseStep(step membershipEvent) {
	l.mu.Lock()
	l.queuedSteps = append(l.queuedSteps, step)
	l.mu.Unlock()
	select {
	case l.phaseSteps <- struct{}{}:
	default: // the loop has been signaled already
	}
}

func (l *membershipLoop) takePhaseSteps() []membershipEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	steps := l.queuedSteps
	l.queuedSteps = nil
	return steps
}

// stop announces that this node has stopped. It returns when the transport has had time to send the
// announcement, or after stopTimeout; the loop itself runs until its context ends.
func (l *membershipLoop) stop() {
	handled := make(chan struct{})
	l.submitPhaseStep(func() []membership.Action {
		defer close(handled)
		return l.machine.Stop()
	})
	select {
	case <-handled:
		time.Sleep(announcementFlushTime)
	case <-time.After(stopTimeout):
	}
}

// receivePeerMessage queues the announcement in a peer message and reports whether the message is an
// announcement. It does not block; a malformed announcement is dropped.
func (l *membershipLoop) receivePeerMessage(from int, message []byte) bool {
	if len(message) == 0 || message[0] != announcementMessageType {
		return false
	}
	if a, ok := decodeAnnouncement(message); ok {
		l.submitAnnouncement(from, a)
	}
	return true
}

// peerRestarted records that further messages with a peer's number are from a new process.
func (l *membershipLoop) peerRestarted(from int) { l.restartedPeers[from] = true }

// submitAnnouncement queues an announcement. If it is the first one since the peer's restart, the
// state machine handles the restart before it.
func (l *membershipLoop) submitAnnouncement(from int, a membership.Announcement) {
	restarted := l.restartedPeers[from]
	queued := l.submit(func() []membership.Action {
		if restarted {
			l.machine.HandlePeerRestart(from)
		}
		return l.machine.HandleAnnouncement(time.Now(), from, a)
	})
	if queued {
		delete(l.restartedPeers, from)
	}
}

// reloadRoster reads the roster file and handles it if its content has changed. While the
// file is absent or being replaced, the accepted roster stays in force.
func (l *membershipLoop) reloadRoster(ctx context.Context) {
	path := l.gateway.cfg.Peers.RosterFile
	content, err := os.ReadFile(path)
	if err != nil || bytes.Equal(content, l.rosterFile) {
		return
	}
	l.rosterFile = content
	roster, err := config.ParseRoster(content, path)
	if err != nil {
		l.gateway.options.Log.Error("roster file invalid; keeping the accepted roster", "error", err)
		return
	}
	l.execute(ctx, l.machine.HandleRoster(time.Now(), *roster))
}

// execute executes actions in order. If the node ends meanwhile, it drops the remaining ones.
func (l *membershipLoop) execute(ctx context.Context, actions []membership.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case membership.SaveSnapshot:
			l.saveSnapshot(a.Snapshot)
		case membership.FleetResized:
			if !l.resizeFleet(ctx, a) {
				return
			}
		case membership.AddressAssigned:
			if a.Number != l.machine.Number() {
				l.transport.SetAddress(a.Number, a.Address)
			}
		case membership.SendAnnouncement:
			l.transport.Send(a.To, encodeAnnouncement(a.Announcement))
		case membership.PhaseChanged:
			l.gateway.options.Log.Info("membership phase changed", "phase", a.Phase.String())
		case membership.LogEvent:
			l.writeLogEvent(ctx, a)
		}
	}
}

// saveSnapshot stores a snapshot. If that fails, the membership change continues: after a restart
// the node enforces no quota share until a change completes.
func (l *membershipLoop) saveSnapshot(s membership.Snapshot) {
	if err := saveMembershipSnapshot(l.gateway.cfg.StateDir, s); err != nil {
		l.gateway.options.Log.Error("saving the membership snapshot failed; after a restart this node enforces no quota share at first",
			"error", err)
	}
}

// resizeFleet sets the fleet's size in the policy and the usage recorder, and waits without a timeout
// until the node's event loop has done so: peers must be notified only afterwards. It returns false
// if the node ends first.
func (l *membershipLoop) resizeFleet(ctx context.Context, a membership.FleetResized) bool {
	g := l.gateway
	resized := make(chan struct{})
	g.node.Do(func() {
		g.node.Resize(a.Gateways, a.PreviousSize)
		if g.usageRecorder != nil {
			g.usageRecorder.resize(a.Gateways)
		}
		close(resized)
	})
	select {
	case <-resized:
		return true
	case <-ctx.Done():
		return false
	}
}

// writeLogEvent writes a log event to the log, as a warning if an operator has to act.
func (l *membershipLoop) writeLogEvent(ctx context.Context, event membership.LogEvent) {
	level := slog.LevelInfo
	if event.NeedsAction {
		level = slog.LevelWarn
	}
	attributes := make([]slog.Attr, 0, len(event.Attributes))
	for _, a := range event.Attributes {
		attributes = append(attributes, slog.Any(a.Key, a.Value))
	}
	l.gateway.options.Log.LogAttrs(ctx, level, event.Message, attributes...)
}

// membershipSnapshotFile is the name of a file in the state directory, fixed by the stored format.
// The file contains the epoch of the accepted roster and whether the change to it is complete.
const membershipSnapshotFile = "roster-epoch"

// loadMembershipSnapshot returns the snapshot that an earlier process saved, or the zero value if there
// is none or dir is empty.
func loadMembershipSnapshot(dir string) (membership.Snapshot, error) {
	if dir == "" {
		return membership.Snapshot{}, nil
	}
	snapshot, err := snapshotfile.ReadPlain[membership.Snapshot](filepath.Join(dir, membershipSnapshotFile))
	if errors.Is(err, fs.ErrNotExist) {
		return membership.Snapshot{}, nil
	}
	return snapshot, err
}

// saveMembershipSnapshot replaces the file atomically and waits until it is on disk. It does nothing if
// dir is empty.
func saveMembershipSnapshot(dir string, snapshot membership.Snapshot) error {
	if dir == "" {
		return nil
	}
	return snapshotfile.WritePlain(filepath.Join(dir, membershipSnapshotFile), snapshot)
}

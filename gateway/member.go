package gateway

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/internal/files"
	"yardcleat.example/yardcleat/membership"
	"yardcleat.example/yardcleat/peer"
)

const (
	announcementMark       = 'M' // first byte of its messages; see tallyMark
	announcementSize       = 1 + 1 + 1 + 8
	membershipTickInterval = 250 * time.Millisecond
	membershipQueueSize    = 256
)

// membershipLoop runs a Member in a goroutine of its own and carries out what it says, in
// order: what the disk must remember is there before the module or a peer hears of
// what follows.
type membershipLoop struct {
	gateway    *Gateway
	machine    *membership.StateMachine
	transport  *peer.Mail
	commands   chan func() []membership.Action
	rosterFile []byte // the roster's, as last read
}

// newMembershipLoop returns a keeper of a fleet by roster.
func (g *Gateway) newMembershipLoop() *membershipLoop {
	mem, err := recallMember(g.cfg.StateDir)
	if err != nil {
		g.o.Log.Warn("what was remembered of the roster is left aside; this node holds no part of ceilings until a change is over",
			"error", err)
	}
	return &membershipLoop{gateway: g, machine: membership.NewStateMachine(membership.Settings{Name: g.cfg.Name, Snapshot: mem}),
		commands: make(chan func() []membership.Action, membershipQueueSize)}
}

// run keeps the member until the context ends.
func (k *membershipLoop) run(ctx context.Context) {
	k.execute(k.machine.HandleRoster(time.Now(), *k.gateway.cfg.Roster))
	tick := time.NewTicker(membershipTickInterval)
	defer tick.Stop()
	for {
		select {
		case f := <-k.commands:
			k.execute(f())
		case <-tick.C:
			k.reloadRoster()
			k.execute(k.machine.Tick(time.Now()))
		case <-ctx.Done():
			return
		}
	}
}

// submit has the member told of something; it may be lost where too much waits, as a
// message may.
func (k *membershipLoop) submit(f func() []membership.Action) {
	select {
	case k.commands <- f:
	default:
	}
}

// stop says that nothing is to be expected of this node any more, and waits until
// that is on its way.
func (k *membershipLoop) stop() {
	const moment = time.Second
	said := make(chan struct{})
	k.submit(func() []membership.Action {
		defer close(said)
		return k.machine.Stop()
	})
	select {
	case <-said:
		time.Sleep(20 * time.Millisecond) // the letters leave by another goroutine
	case <-time.After(moment):
	}
}

// reloadRoster reads the roster's file again where it has changed.
func (k *membershipLoop) reloadRoster() {
	path := k.gateway.cfg.Peers.RosterFile
	b, err := os.ReadFile(path)
	if err != nil || bytes.Equal(b, k.rosterFile) {
		return // where it is being replaced, or is gone, what was taken stays
	}
	k.rosterFile = b
	r, err := config.ParseRoster(b, path)
	if err != nil {
		k.gateway.o.Log.Error("the roster can't be used; the last one is kept", "error", err)
		return
	}
	k.execute(k.machine.HandleRoster(time.Now(), *r))
}

func (k *membershipLoop) execute(acts []membership.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case membership.SaveSnapshot:
			if err := rememberMember(k.gateway.cfg.StateDir, a.Snapshot); err != nil {
				k.gateway.o.Log.Error("the roster's epoch can't be remembered; after a restart this node holds no part of ceilings at first",
					"error", err)
			}
		case membership.FleetResized:
			taken := make(chan struct{})
			k.gateway.node.Do(func() {
				k.gateway.node.Resize(a.Gateways, a.PreviousSize)
				if k.gateway.led != nil {
					k.gateway.led.resize(a.Gateways)
				}
				close(taken)
			})
			select {
			case <-taken: // peers are told only after the module has it
			case <-time.After(5 * time.Second):
				return // the node ends
			}
		case membership.AddressAssigned:
			if a.Number != k.machine.Number() {
				k.transport.Reach(a.Number, a.Address)
			}
		case membership.SendAnnouncement:
			k.transport.Tell(a.To, encodeAnnouncement(a.Announcement))
		case membership.PhaseChanged:
			k.gateway.o.Log.Info("membership phase changed", "phase", a.Phase.String())
		case membership.OperatorNote:
			k.logNote(a)
		}
	}
}

// logNote writes a note to the operators' log.
func (k *membershipLoop) logNote(n membership.OperatorNote) {
	level := slog.LevelInfo
	if n.NeedsAction {
		level = slog.LevelWarn
	}
	attributes := make([]slog.Attr, 0, len(n.Attributes))
	for _, a := range n.Attributes {
		attributes = append(attributes, slog.Any(a.Key, a.Value))
	}
	k.gateway.o.Log.LogAttrs(context.Background(), level, n.Message, attributes...)
}

func encodeAnnouncement(h membership.Announcement) []byte {
	b := []byte{announcementMark, byte(h.Phase), byte(h.Stage)}
	return binary.BigEndian.AppendUint64(b, h.Epoch)
}

// handleMessage takes a message; false where it is not one of these.
func (k *membershipLoop) handleMessage(from int, b []byte) bool {
	if len(b) == 0 || b[0] != announcementMark {
		return false
	}
	if h, ok := decodeAnnouncement(b); ok {
		k.submit(func() []membership.Action { return k.machine.HandleAnnouncement(time.Now(), from, h) })
	}
	return true
}

// decodeAnnouncement reads a message that begins with memberMark; a malformed one, of a
// newer version, is not ok.
func decodeAnnouncement(b []byte) (h membership.Announcement, ok bool) {
	if len(b) != announcementSize || b[1] > byte(membership.Stopped) || b[2] > byte(membership.StageComplete) {
		return h, false
	}
	return membership.Announcement{Phase: membership.Phase(b[1]), Stage: membership.Stage(b[2]), Epoch: binary.BigEndian.Uint64(b[3:])}, true
}

const memberFile = "roster-epoch"

func recallMember(dir string) (m membership.Snapshot, err error) {
	if dir == "" {
		return m, nil
	}
	b, err := os.ReadFile(filepath.Join(dir, memberFile))
	if errors.Is(err, fs.ErrNotExist) {
		return m, nil
	}
	if err == nil {
		err = json.Unmarshal(b, &m)
	}
	if err != nil {
		return membership.Snapshot{}, err
	}
	return m, nil
}

// rememberMember replaces the file in one step, and has it on the disk.
func rememberMember(dir string, m membership.Snapshot) error {
	if dir == "" {
		return nil
	}
	b, err := json.Marshal(m)
	if err != nil {
		return err
	}
	return files.Replace(filepath.Join(dir, memberFile), b)
}

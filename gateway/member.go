package gateway

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/internal/snapshotfile"
	"yardcleat.example/yardcleat/membership"
	"yardcleat.example/yardcleat/peer"
)

const (
	memberMark  = 'M' // first byte of its messages; see tallyMark
	memberSize  = 1 + 1 + 1 + 8
	memberTick  = 250 * time.Millisecond
	memberQueue = 256
)

// keeper runs a Member in a goroutine of its own and carries out what it says, in
// order: what the disk must remember is there before the module or a peer hears of
// what follows.
type keeper struct {
	g    *Gateway
	m    *membership.Member
	mail *peer.Mail
	do   chan func() []membership.Action
	file []byte // the roster's, as last read
}

// newKeeper returns a keeper of a fleet by roster.
func (g *Gateway) newKeeper() *keeper {
	mem, err := recallMember(g.cfg.StateDir)
	if err != nil {
		g.o.Log.Warn("what was remembered of the roster is left aside; this node holds no part of ceilings until a change is over",
			"error", err)
	}
	return &keeper{g: g, m: membership.New(membership.Settings{Name: g.cfg.Name, Memory: mem}),
		do: make(chan func() []membership.Action, memberQueue)}
}

// run keeps the member until the context ends.
func (k *keeper) run(ctx context.Context) {
	k.carry(k.m.Roster(time.Now(), *k.g.cfg.Roster))
	tick := time.NewTicker(memberTick)
	defer tick.Stop()
	for {
		select {
		case f := <-k.do:
			k.carry(f())
		case <-tick.C:
			k.look()
			k.carry(k.m.Tick(time.Now()))
		case <-ctx.Done():
			return
		}
	}
}

// post has the member told of something; it may be lost where too much waits, as a
// message may.
func (k *keeper) post(f func() []membership.Action) {
	select {
	case k.do <- f:
	default:
	}
}

// end says that nothing is to be expected of this node any more, and waits until
// that is on its way.
func (k *keeper) end() {
	const moment = time.Second
	said := make(chan struct{})
	k.post(func() []membership.Action {
		defer close(said)
		return k.m.End()
	})
	select {
	case <-said:
		time.Sleep(20 * time.Millisecond) // the letters leave by another goroutine
	case <-time.After(moment):
	}
}

// look reads the roster's file again where it has changed.
func (k *keeper) look() {
	path := k.g.cfg.Peers.RosterFile
	b, err := os.ReadFile(path)
	if err != nil || bytes.Equal(b, k.file) {
		return // where it is being replaced, or is gone, what was taken stays
	}
	k.file = b
	r, err := config.ParseRoster(b, path)
	if err != nil {
		k.g.o.Log.Error("the roster can't be used; the last one is kept", "error", err)
		return
	}
	k.carry(k.m.Roster(time.Now(), *r))
}

func (k *keeper) carry(acts []membership.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case membership.Remember:
			if err := rememberMember(k.g.cfg.StateDir, a.Memory); err != nil {
				k.g.o.Log.Error("the roster's epoch can't be remembered; after a restart this node holds no part of ceilings at first",
					"error", err)
			}
		case membership.Fleet:
			taken := make(chan struct{})
			k.g.node.Do(func() {
				k.g.node.Resize(a.Gateways, a.Was)
				if k.g.led != nil {
					k.g.led.resize(a.Gateways)
				}
				close(taken)
			})
			select {
			case <-taken: // peers are told only after the module has it
			case <-time.After(5 * time.Second):
				return // the node ends
			}
		case membership.Address:
			if a.Number != k.m.Number() {
				k.mail.Reach(a.Number, a.Address)
			}
		case membership.Tell:
			k.mail.Tell(a.To, encodeHello(a.Hello))
		case membership.Changed:
			k.g.o.Log.Info("this node is "+a.Phase.String(), "from", "member")
		case membership.Note:
			log := k.g.o.Log.Info
			if a.Wrong {
				log = k.g.o.Log.Warn
			}
			log(a.Text, "from", "member")
		}
	}
}

func encodeHello(h membership.Hello) []byte {
	b := []byte{memberMark, byte(h.Phase), byte(h.Stage)}
	return binary.BigEndian.AppendUint64(b, h.Epoch)
}

// heard takes a message; false where it is not one of these.
func (k *keeper) heard(from int, b []byte) bool {
	if len(b) == 0 || b[0] != memberMark {
		return false
	}
	if h, ok := decodeHello(b); ok {
		k.post(func() []membership.Action { return k.m.Heard(time.Now(), from, h) })
	}
	return true
}

// decodeHello reads a message that begins with memberMark; a malformed one, of a
// newer version, is not ok.
func decodeHello(b []byte) (h membership.Hello, ok bool) {
	if len(b) != memberSize || b[1] > byte(membership.Gone) || b[2] > byte(membership.Over) {
		return h, false
	}
	return membership.Hello{Phase: membership.Phase(b[1]), Stage: membership.Stage(b[2]), Epoch: binary.BigEndian.Uint64(b[3:])}, true
}

const memberFile = "roster-epoch"

// recallMember reads what an earlier process wrote; the zero value where there is none.
func recallMember(dir string) (membership.Memory, error) {
	if dir == "" {
		return membership.Memory{}, nil
	}
	m, err := snapshotfile.ReadPlain[membership.Memory](filepath.Join(dir, memberFile))
	if errors.Is(err, fs.ErrNotExist) {
		return membership.Memory{}, nil
	}
	return m, err
}

// rememberMember replaces the file in one step, and has it on the disk.
func rememberMember(dir string, m membership.Memory) error {
	if dir == "" {
		return nil
	}
	return snapshotfile.WritePlain(filepath.Join(dir, memberFile), m)
}

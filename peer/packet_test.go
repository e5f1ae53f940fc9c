package peer

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/internal/network"
)

func init() { flag.Set("rapid.seed", "1") } // makes the property tests deterministic

var (
	key   = bytes.Repeat([]byte{1}, 32)
	epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
)

func TestOpen(t *testing.T) {
	h := Header{From: 1, To: 2, Incarnation: 3, Seq: 4, Sent: epoch}
	b := Seal(key, h, []byte("hello"))
	if got, payload, ok := Open(key, b); !ok || string(payload) != "hello" || got.From != 1 || got.To != 2 ||
		got.Incarnation != 3 || got.Seq != 4 || !got.Sent.Equal(epoch) {
		t.Fatalf("%+v, %q, %v", got, payload, ok)
	}
	if _, _, ok := Open(bytes.Repeat([]byte{2}, 32), b); ok {
		t.Error("opened with another key")
	}
	for i := range b {
		for _, bad := range [][]byte{b[:i], append(bytes.Clone(b[:i]), append([]byte{b[i] ^ 1}, b[i+1:]...)...)} {
			if _, _, ok := Open(key, bad); ok {
				t.Fatalf("opened a packet truncated or changed at byte %d", i)
			}
		}
	}
}

func TestPacketFilterCheck(t *testing.T) {
	const freshness = time.Second
	msg := func(from, to uint16, inc, seq uint64, after time.Duration) Header {
		return Header{From: from, To: to, Incarnation: inc, Seq: seq, Sent: epoch.Add(after)}
	}
	type step struct {
		at   time.Duration
		h    Header
		want PacketStatus
	}
	for name, steps := range map[string][]step{
		"in order":                     {{0, msg(1, 0, 5, 1, 0), Accepted}, {0, msg(1, 0, 5, 2, 0), Accepted}},
		"out of order":                 {{0, msg(1, 0, 5, 9, 0), Accepted}, {0, msg(1, 0, 5, 2, 0), Accepted}, {0, msg(1, 0, 5, 2, 0), Replayed}},
		"replayed":                     {{0, msg(1, 0, 5, 1, 0), Accepted}, {0, msg(1, 0, 5, 1, 0), Replayed}},
		"outside the window":           {{0, msg(1, 0, 5, 100, 0), Accepted}, {0, msg(1, 0, 5, 36, 0), Replayed}, {0, msg(1, 0, 5, 37, 0), Accepted}},
		"replayed after the freshness": {{0, msg(1, 0, 5, 1, 0), Accepted}, {2 * freshness, msg(1, 0, 5, 1, 0), Stale}},
		"stale, at a new process":      {{2 * freshness, msg(1, 0, 5, 1, 0), Stale}},
		"from the future":              {{0, msg(1, 0, 5, 1, 2*freshness), Stale}},
		"for another node":             {{0, msg(1, 2, 5, 1, 0), Misaddressed}},
		"number not in the fleet":      {{0, msg(7, 0, 5, 1, 0), Misaddressed}},
		"own message, sent back":       {{0, msg(0, 1, 77, 1, 0), Misaddressed}},
		"own number, other process":    {{0, msg(0, 1, 78, 1, 0), DuplicateOwnNumber}},
		"restarted": {{0, msg(1, 0, 5, 10, 0), Accepted}, {1, msg(1, 0, 6, 1, 10), Accepted},
			{2, msg(1, 0, 5, 11, 5), FromOlderIncarnation}, {3, msg(1, 0, 6, 1, 10), Replayed}},
		"number in use twice": {{0, msg(1, 0, 5, 10, 0), Accepted}, {1, msg(1, 0, 6, 1, 10), Accepted}, {2, msg(1, 0, 5, 11, 20), DuplicateNumber}},
		"number 0":            {{0, msg(1, 0, 5, 0, 0), Replayed}},
	} {
		t.Run(name, func(t *testing.T) {
			filter := NewPacketFilter(0, 3, 77, freshness, 100)
			for i, s := range steps {
				if got := filter.Check(epoch.Add(s.at), s.h); got != s.want {
					t.Errorf("step %d: %v, want %v", i, got, s.want)
				}
			}
		})
	}
}

// The accepted messages do not exceed the rate, however many arrive.
func TestAcceptedMessagesAreRateLimited(t *testing.T) {
	filter := NewPacketFilter(0, 2, 1, time.Hour, 60)
	accepted := 0
	for i := range 10_000 {
		at := epoch.Add(time.Duration(i) * time.Millisecond)
		if filter.Check(at, Header{From: 1, To: 0, Incarnation: 1, Seq: uint64(i + 1), Sent: at}) == Accepted {
			accepted++
		}
	}
	if accepted < 600 || accepted > 630 {
		t.Errorf("%d messages accepted in 10 s at 60 per second", accepted)
	}
}

// No message is accepted twice, whichever messages are lost, duplicated and reordered, across
// restarts of the sender.
func TestNoMessageIsAcceptedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		filter := NewPacketFilter(0, 2, 1, time.Hour, 1e9)
		accepted := map[Header]bool{}
		var sent []Header
		inc, seq, now := uint64(1), uint64(0), epoch
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				now = now.Add(time.Millisecond)
				seq++
				sent = append(sent, Header{From: 1, To: 0, Incarnation: inc, Seq: seq, Sent: now})
			},
			"restart": func(t *rapid.T) { inc, seq = inc+1, 0 },
			"arrive": func(t *rapid.T) {
				if len(sent) == 0 {
					return
				}
				h := sent[rapid.IntRange(max(0, len(sent)-80), len(sent)-1).Draw(t, "which")]
				if filter.Check(now, h) == Accepted {
					if accepted[h] {
						t.Fatalf("%+v accepted twice", h)
					}
					accepted[h] = true
				}
			},
		})
	})
}

// If two processes use one number, a third node accepts messages only of the newer one and logs
// an error.
func TestTwoProcessesWithOneNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := network.NewMemory(time.Millisecond, 1)
		var mu sync.Mutex
		var log bytes.Buffer
		delivered := 0
		open := func(host, addr string, me int, inc uint64, w io.Writer) *AuthenticatedTransport {
			m, err := Listen(Options{Network: memory.Host(host), Listen: addr, Addresses: map[int]string{1 - me: map[int]string{0: "a:1", 1: "b:1"}[1-me]},
				SelfIndex: me, Keys: NewKeyring([][]byte{key}, "", slog.New(slog.DiscardHandler)), Incarnation: inc, MaxMessageAge: time.Second, MessagesPerSecond: 1000, Log: slog.New(slog.NewTextHandler(w, nil)),
				Deliver: func(int, []byte) {
					mu.Lock()
					defer mu.Unlock()
					delivered++
				}})
			if err != nil {
				t.Fatal(err)
			}
			return m
		}
		a := open("a", "a:1", 0, 1, &log)
		b1, b2 := open("b", "b:1", 1, 1, io.Discard), open("c", "c:1", 1, 2, io.Discard)
		foreign, err := Listen(Options{Network: memory.Host("d"), Listen: "d:1", Addresses: map[int]string{0: "a:1"}, SelfIndex: 1,
			Keys: NewKeyring([][]byte{bytes.Repeat([]byte{9}, 32)}, "", slog.New(slog.DiscardHandler)), Incarnation: 9, MaxMessageAge: time.Second, MessagesPerSecond: 1000, Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			t.Fatal(err)
		}
		for range 5 {
			for _, m := range []*AuthenticatedTransport{b1, b2, foreign} {
				m.Send(0, []byte("x"))
				time.Sleep(20 * time.Millisecond)
			}
		}
		for _, m := range []*AuthenticatedTransport{a, b1, b2, foreign} {
			m.Close()
		}
		mu.Lock()
		defer mu.Unlock()
		if delivered != 6 { // the first of b1, then only those of b2
			t.Errorf("%d messages delivered, want 6", delivered)
		}
		if !strings.Contains(log.String(), "level=ERROR") || !strings.Contains(log.String(), "number in use twice") {
			t.Errorf("log: %s", log.String())
		}
	})
}

func FuzzOpen(f *testing.F) {
	f.Add(Seal(key, Header{From: 1, To: 2, Incarnation: 3, Seq: 4, Sent: epoch}, []byte("hello")))
	f.Fuzz(func(t *testing.T, b []byte) {
		if h, payload, ok := Open(key, b); ok && !bytes.Equal(Seal(key, h, payload), b) {
			t.Errorf("%x opens, but sealing its contents gives other bytes", b)
		}
	})
}

// The fleet's key is replaced in service in three steps without a loss of messages. A node that
// keeps only the old key is excluded within KeyFileCheckInterval.
func TestKeyRotation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := network.NewMemory(time.Millisecond, 1)
		dir := t.TempDir()
		keyOf := func(b byte) string { return strings.Repeat(fmt.Sprintf("%02x", b), 32) + "\n" }
		var mu sync.Mutex
		delivered := map[int]int{}
		var all []*AuthenticatedTransport
		write := func(n int, text string) {
			if err := os.WriteFile(filepath.Join(dir, fmt.Sprint(n)), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		addresses := map[int]string{0: "a:1", 1: "b:1", 2: "c:1"}
		for n := range 3 {
			write(n, keyOf(1))
			others := maps.Clone(addresses)
			delete(others, n)
			old, err := config.ParseKeys(keyOf(1))
			if err != nil {
				t.Fatal(err)
			}
			m, err := Listen(Options{Network: memory.Host(addresses[n]), Listen: addresses[n], Addresses: others, SelfIndex: n,
				Keys:        NewKeyring(old, filepath.Join(dir, fmt.Sprint(n)), slog.New(slog.DiscardHandler)),
				Incarnation: 1, MaxMessageAge: time.Second, MessagesPerSecond: 1000, Log: slog.New(slog.DiscardHandler),
				Deliver: func(from int, _ []byte) {
					mu.Lock()
					defer mu.Unlock()
					delivered[from]++
				}})
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, m)
		}
		sendToAll := func(seconds int) {
			for range seconds * 10 {
				for n, m := range all {
					m.Send((n+1)%3, []byte("x"))
					m.Send((n+2)%3, []byte("x"))
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
		for _, step := range []string{keyOf(1) + keyOf(2), keyOf(2) + keyOf(1), "invalid", keyOf(2)} {
			for n := range all { // one node after the other, as in service
				if step != "invalid" || n == 0 {
					write(n, step)
				}
				if step == keyOf(2) && n == 2 {
					write(n, keyOf(1)) // a node that was not updated, or is excluded on purpose
				}
				sendToAll(2)
			}
		}
		mu.Lock()
		total := delivered[0] + delivered[1]
		deliveredBefore := delivered[2]
		mu.Unlock()
		if want := 2 * 2 * 12 * 20; total < want-60 || total > want {
			t.Errorf("%d of %d messages delivered from the nodes with the new key", total, want)
		}
		sendToAll(2)
		mu.Lock()
		defer mu.Unlock()
		if delivered[2] != deliveredBefore {
			t.Errorf("%d messages of the excluded node were delivered", delivered[2]-deliveredBefore)
		}
		for _, m := range all {
			m.Close()
		}
	})
}

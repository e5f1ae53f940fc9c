package rediscounter

import (
	"bufio"
	"cmp"
	"io"
	"net"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/usage"
)

// Guards against changes of the protocol: calls must be encoded as exactly these commands, and
// responses decoded from exactly these bytes.
func TestCallsHaveGoldenCommandsAndResponses(t *testing.T) {
	const customer, window = "bibl-a", 177
	key := usage.TotalKey{Customer: customer, Window: window}
	entry := func(node int, incarnation uint64, units usage.MilliUnits) usage.CounterEntry {
		return usage.CounterEntry{Key: key, Writer: usage.WriterID{Node: node, Incarnation: incarnation}, Units: units}
	}
	full := usage.CounterCall{Key: key, Raise: []usage.CounterEntry{entry(3, 1764662400000000000, 123456)},
		AddIfMissing: []usage.CounterEntry{entry(4, 35, 1)}, Level: usage.Level{Units: 12.5, At: time.UnixMilli(1764662400000)}, RefreshExpiry: true, ReadEpoch: true}
	const stored = "*6\r\n$14\r\n3.denkm32f0u80\r\n$6\r\n123456\r\n$3\r\n4.z\r\n$1\r\n1\r\n$5\r\nlevel\r\n$20\r\n12.500@1764662400000\r\n"
	for _, c := range []struct {
		name        string
		call        usage.CounterCall
		connections [][]exchange
		want        usage.CounterResponse
	}{
		{"read a total", usage.CounterCall{Key: key}, [][]exchange{{{"hgetall yt:{bibl-a}:177", stored}}},
			usage.CounterResponse{Entries: []usage.CounterEntry{entry(3, 1764662400000000000, 123456), entry(4, 35, 1)}, Level: full.Level}},
		{"raise, add if missing and refresh expiry", full, [][]exchange{{
			{"get yt:epoch", "$5\r\n3w5e1\r\n"},
			{"hgetall yt:{bibl-a}:177", "*0\r\n"},
			{"hset yt:{bibl-a}:177 3.denkm32f0u80 123456 level 12.500@1764662400000", ":2\r\n"},
			{"hsetnx yt:{bibl-a}:177 4.z 1", ":1\r\n"},
			{"pexpire yt:{bibl-a}:177 86400000", ":1\r\n"},
		}}, usage.CounterResponse{Epoch: "3w5e1"}},
		// The second connection is needed because go-redis has a separate connection pool for
		// pipelines.
		{"missing epoch", usage.CounterCall{Key: key, ReadEpoch: true}, [][]exchange{
			{{"get yt:epoch", "$-1\r\n"}, {"hgetall yt:{bibl-a}:177", "*0\r\n"}},
			{{"set yt:epoch * nx", "+OK\r\n"}, {"get yt:epoch", "$5\r\n3w5e1\r\n"}},
		}, usage.CounterResponse{Epoch: "3w5e1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := callOnce(t, c.call, c.connections)
				slices.SortFunc(got.Entries, func(a, b usage.CounterEntry) int { return cmp.Compare(a.Writer.Node, b.Writer.Node) })
				if !reflect.DeepEqual(got, c.want) {
					t.Errorf("response %+v, want %+v", got, c.want)
				}
				time.Sleep(time.Minute) // timers of closed connections expire
			})
		})
	}
}

// Guards against confirming entries that were not written: if the epoch is missing, the pipeline's own
// error is that of the missing key, which must not hide the failure of a later write.
func TestFailedWriteWithMissingEpochFailsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		key := usage.TotalKey{Customer: "bibl-a", Window: 177}
		call := usage.CounterCall{Key: key, ReadEpoch: true,
			Raise: []usage.CounterEntry{{Key: key, Writer: usage.WriterID{Node: 3, Incarnation: 35}, Units: 123456}}}
		got := callOnce(t, call, [][]exchange{{
			{"get yt:epoch", "$-1\r\n"},
			{"hgetall yt:{bibl-a}:177", "*0\r\n"},
			{"hset yt:{bibl-a}:177 3.z 123456", "-OOM command not allowed when used memory > 'maxmemory'.\r\n"},
		}})
		if !got.Failed {
			t.Errorf("response %+v, want a failed one", got)
		}
		time.Sleep(time.Minute) // timers of closed connections expire
	})
}

// callOnce executes one call on a fake shard, which accepts one connection for each list of expected
// exchanges.
func callOnce(t *testing.T, call usage.CounterCall, connections [][]exchange) usage.CounterResponse {
	t.Helper()
	mem := network.NewMemory(time.Millisecond, 1)
	l, err := mem.Host("counter").Listen("10.0.5.1:80")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for _, list := range connections {
			conn, err := l.Accept()
			if err != nil {
				t.Error(err)
				return
			}
			go serveExchanges(t, conn, append(slices.Clone(handshake), list...))
		}
	}()
	client := New(Options{Network: mem.Host("node"), Addresses: []string{"10.0.5.1:80"}, ClientName: "node-3", Timeout: time.Second,
		Retention: 24 * time.Hour})
	done := make(chan usage.CounterResponse)
	client.Do(call, func(response usage.CounterResponse) { done <- response })
	response := <-done
	client.Close()
	if err := l.Close(); err != nil {
		t.Error(err)
	}
	return response
}

// exchange is an expected command, as space-separated words, and the bytes of its response. The word
// * matches any word, such as a random epoch.
type exchange struct{ command, response string }

// handshake lists the first exchanges of every connection to a shard that does not support HELLO.
var handshake = []exchange{
	{"hello 2 setname node-3", "-ERR unknown command 'HELLO'\r\n"},
	{"client setname node-3", "+OK\r\n"},
}

// serveExchanges compares the bytes of each command received on a connection with the expected ones,
// and sends the response.
func serveExchanges(t *testing.T, conn net.Conn, list []exchange) {
	t.Helper()
	defer func() {
		if err := conn.Close(); err != nil {
			t.Error(err)
		}
	}()
	reader := bufio.NewReader(conn)
	for _, e := range list {
		b, words, err := readCommand(reader)
		if err != nil {
			t.Errorf("got error %v instead of command %q", err, e.command)
			return
		}
		want := strings.Fields(e.command)
		for k := range want {
			if want[k] == "*" && k < len(words) {
				want[k] = words[k]
			}
		}
		if b != encodeCommand(want) {
			t.Errorf("sent %q, want %q", b, encodeCommand(want))
		}
		if _, err := io.WriteString(conn, e.response); err != nil {
			t.Error(err)
			return
		}
	}
	if b, err := reader.ReadString('\n'); err == nil {
		t.Errorf("sent an unexpected command: %q", b)
	}
}

// encodeCommand returns the bytes of a command in RESP.
func encodeCommand(words []string) string {
	b := "*" + strconv.Itoa(len(words)) + "\r\n"
	for _, w := range words {
		b += "$" + strconv.Itoa(len(w)) + "\r\n" + w + "\r\n"
	}
	return b
}

// readCommand reads a command and returns its bytes and its words.
func readCommand(reader *bufio.Reader) (bytes string, words []string, err error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return "", nil, err
	}
	bytes = line
	n, err := strconv.Atoi(strings.Trim(line, "*\r\n"))
	for range n {
		var size, word string
		if size, err = reader.ReadString('\n'); err != nil {
			break
		}
		if word, err = reader.ReadString('\n'); err != nil {
			break
		}
		bytes += size + word
		words = append(words, strings.TrimSuffix(word, "\r\n"))
	}
	return bytes, words, err
}

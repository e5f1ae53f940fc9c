package policy

import (
	"encoding/hex"
	"reflect"
	"testing"
)

// Messages between gateways are encoded to exactly these bytes and decoded from them, so that gateways of different
// versions can be in one fleet.
func TestPeerMessagesHaveGoldenBytes(t *testing.T) {
	for _, c := range []struct {
		name, bytes string
		message     peerMessage
	}{
		{"lease request of a retry", "0300" + "0102030405060708" + "1112" + "2122" + "31" + "32" + "4142" + "5152" + "61626364" + "71" + "72" + "01",
			leaseRequest{Customer: 0x0102030405060708, FirstGateway: 0x1112, GatewaySpread: 0x2122, Plan: 0x31, Class: 0x32, Units: 0x4142, RemainingMS: 0x5152,
				Tag: 0x61626364, Chance: 0x71, Fill: 0x72, ClientRetry: true}},
		{"lease request", "0300" + "0102030405060708" + "1112" + "2122" + "31" + "32" + "4142" + "5152" + "61626364" + "71" + "72" + "00",
			leaseRequest{Customer: 0x0102030405060708, FirstGateway: 0x1112, GatewaySpread: 0x2122, Plan: 0x31, Class: 0x32, Units: 0x4142, RemainingMS: 0x5152,
				Tag: 0x61626364, Chance: 0x71, Fill: 0x72}},
		{"lease request of 1.5 units", "0300" + "0102030405060708" + "1112" + "2122" + "31" + "32" + "0002" + "5152" + "61626364" + "71" + "72" + "80",
			leaseRequest{Customer: 0x0102030405060708, FirstGateway: 0x1112, GatewaySpread: 0x2122, Plan: 0x31, Class: 0x32, Units: 1.5, RemainingMS: 0x5152,
				Tag: 0x61626364, Chance: 0x71, Fill: 0x72}},
		{"lease request of a retry, half a unit", "0300" + "0102030405060708" + "1112" + "2122" + "31" + "32" + "0001" + "5152" + "61626364" + "71" + "72" + "81",
			leaseRequest{Customer: 0x0102030405060708, FirstGateway: 0x1112, GatewaySpread: 0x2122, Plan: 0x31, Class: 0x32, Units: 0.5, RemainingMS: 0x5152,
				Tag: 0x61626364, Chance: 0x71, Fill: 0x72, ClientRetry: true}},
		{"lease response", "0301" + "01020304" + "05" + "06" + "07" + "08", leaseResponse{Tag: 0x01020304, Decision: 5, Fill: 6, Overload: 7, AdmittedShare: 8}},
		{"lease return", "0302" + "0102030405060708" + "11121314" + "00", leaseReturn{Customer: 0x0102030405060708, Tag: 0x11121314}},
		{"lease return, unused", "0302" + "0102030405060708" + "11121314" + "01",
			leaseReturn{Customer: 0x0102030405060708, Tag: 0x11121314, Unused: true}},
		{"outcome report", "0303" + "01020304" + "05" + "06" + "0708", outcomeReport{Server: 0x01020304, Class: 5, Code: 6, LatencyMS: 0x0708}},
		{"outlier report", "0304" + "01020304" + "05" + "06", outlierReport{Server: 0x01020304, EjectedClasses: 5, LatencyRatio: 6}},
		{"outlier report, of more than eight classes", "0304" + "01020304" + "05" + "06" + "0008", outlierReport{Server: 0x01020304, EjectedClasses: 5, LatencyRatio: 6, FurtherClasses: []byte{0, 8}}},
		{"load report", "04" + "01020304" + "11121314" + "01" + "02" + // header, 2 servers
			"2465" + "ffff" + // for each server: hash of 11 bits, attempts in flight of 5 bits
			"a1a2a3" + "4c" + "5152" + "61" + "fa" + // a customer
			"b1b2b3" + "f0" + "0001" + "7f" + "ff",
			loadReport{incarnation: 0x01020304, sequence: 0x11121314, complete: true, servers: []reportedServer{{hash: 0x123, inFlight: 5}, {hash: 0x7ff, inFlight: 31}},
				customers: []reportedCustomer{{hash: 0xa1a2a3, inFlight: 4, queued: 12, admittedUnits: 0x5152, demand: 0x61, fill: 250},
					{hash: 0xb1b2b3, inFlight: 15, queued: 0, admittedUnits: 1, demand: maxReportedDemand, fill: unknownFill}}}},
		{"load report, incomplete", "04" + "01020304" + "11121314" + "00" + "00",
			loadReport{incarnation: 0x01020304, sequence: 0x11121314}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, err := hex.DecodeString(c.bytes)
			if err != nil {
				t.Fatal(err)
			}
			if m := decode(b); !reflect.DeepEqual(m, c.message) {
				t.Errorf("decoded to %#v, want %#v", m, c.message)
			}
			if got := hex.EncodeToString(c.message.encode()); got != c.bytes {
				t.Errorf("encoded to %s, want %s", got, c.bytes)
			}
		})
	}
}

// The units of a lease request are decoded to no less than was encoded, and to at most 1/128 more. Those of gateways
// that send whole units only are decoded as sent, and 0, which they send for less than one unit, as 1.
func TestLeaseUnitsAreRoundedUp(t *testing.T) {
	for _, units := range []float64{0, 1e-9, 0.01, 0.3, 0.5, 0.999, 1, 1.001, 1.5, 3.99, 1000, 65534.01, 65535} {
		whole, excess := encodeUnits(units)
		got := decodeUnits(whole, excess)
		if got < units || got > units+1.0/128 || float64(whole) < units {
			t.Errorf("%v units are decoded to %v, and by older versions to %v", units, got, whole)
		}
	}
	for _, whole := range []uint16{0, 1, 2, 65535} {
		if got, want := decodeUnits(whole, 0), max(1, float64(whole)); got != want {
			t.Errorf("%v whole units are decoded to %v", whole, got)
		}
	}
}

// The numbers of constants that messages and stored data contain must not change.
func TestCodesOnTheWireKeepTheirValues(t *testing.T) {
	for _, c := range []struct {
		name      string
		got, want int
	}{
		{"lease granted", int(leaseGranted), 0}, {"lease rejected", int(leaseRejected), 1}, {"lease queued", int(leaseQueued), 2},
		{"shift of the reason in a decision", reasonShift, 2},
		{"ReasonNone", int(ReasonNone), 0}, {"ReasonQuotaExceeded", int(ReasonQuotaExceeded), 1}, {"ReasonInFlightLimit", int(ReasonInFlightLimit), 2}, {"ReasonCeilingExceeded", int(ReasonCeilingExceeded), 3},
		{"ReasonLoadShed", int(ReasonLoadShed), 4}, {"ReasonNoServer", int(ReasonNoServer), 5}, {"ReasonNoTime", int(ReasonNoTime), 6}, {"ReasonNoQuotaLeader", int(ReasonNoQuotaLeader), 7},
		{"ReasonAttemptsExhausted", int(ReasonAttemptsExhausted), 8},
		{"OK", int(OK), 0}, {"Error", int(Error), 1}, {"Rejected", int(Rejected), 2}, {"TimedOut", int(TimedOut), 3},
		{"ConnectFailed", int(ConnectFailed), 4}, {"Reset", int(Reset), 5}, {"Cancelled", int(Cancelled), 6}, {"TooLate", int(TooLate), 7}, {"Withdrawn", int(Withdrawn), 8}, {"NoConnection", int(NoConnection), 9},
		{"Running", int(Running), 0}, {"Draining", int(Draining), 1}, {"Removed", int(Removed), 2},
	} {
		if c.got != c.want {
			t.Errorf("%s is %d, want %d", c.name, c.got, c.want)
		}
	}
}

// No message of a peer makes a gateway panic, and a load report that can be decoded is the same after it is encoded
// and decoded again.
func FuzzPeerMessage(f *testing.F) {
	f.Add((&loadReport{incarnation: 1, sequence: 2, complete: true, servers: []reportedServer{{1, 2}},
		customers: []reportedCustomer{{hash: 3}, {hash: 5}}}).encode())
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, data []byte) {
		h := newHarness(t, baseSettings(), testServers(2))
		h.request("safe", "hard", "c", 1)
		h.handle(PeerMessage{From: 1, Data: data})
		if report, ok := decodeLoadReport(data); ok {
			if len(data) > maxMessageBytes {
				t.Fatal("decoded a load report above the maximum message size")
			}
			if decoded, ok := decodeLoadReport(report.encode()); !ok || !reflect.DeepEqual(report, decoded) {
				t.Fatal("a load report differs after it is encoded and decoded")
			}
		}
	})
}

package policy

import "fmt"

// check refuses settings that cannot be meant, and names the key.
func (s *Settings) check() error {
	var err error
	need := func(ok bool, key string, args ...any) {
		if !ok && err == nil {
			err = fmt.Errorf("policy: setting "+key, args...)
		}
	}
	need(s.Resolution > 0, "Resolution: not above 0")
	need(s.Gateways >= 1, "Gateways: below 1")
	need(s.SelfIndex >= 0 && s.SelfIndex < max(s.Gateways, 1), "SelfIndex: outside 0 to Gateways-1")
	need(s.PeerMessagesPerSecond >= 0, "PeerMessagesPerSecond: negative")
	need(len(s.Plans) > 0, "Plans: none")
	need(len(s.Classes) > 0, "Classes: none")
	for i, p := range s.Plans {
		need(p.Name != "", "Plans[%d].Name: empty", i)
		need(p.Rate >= 0, "Plans[%d].Rate: negative", i)
		need(p.Burst >= 0, "Plans[%d].Burst: negative", i)
		need(p.MaxInFlight >= 0, "Plans[%d].MaxInFlight: negative", i)
		need(p.HardRate >= 0, "Plans[%d].HardRate: negative", i)
		need(p.HardBurst >= 0, "Plans[%d].HardBurst: negative", i)
	}
	for i, c := range s.Classes {
		need(c.Name != "", "Classes[%d].Name: empty", i)
		need(c.LatencyObjective > 0, "Classes[%d].LatencyObjective: not above 0", i)
		need(c.Deadline > 0, "Classes[%d].Deadline: not above 0", i)
	}
	return err
}

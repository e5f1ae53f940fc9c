package policy

const coldSafety = 0.5 // part of the cold budget used

// coldness is the least share of its capacity a server surely has.
func (g *Gateway) coldness(s *server) float64 {
	if !s.HasStartTime || g.set.WarmupTime <= 0 || g.set.InitialCapacity <= 0 {
		return 1
	}
	age := float64(g.now-s.StartedAt) / float64(g.set.WarmupTime)
	return min(1, g.set.InitialCapacity+(1-g.set.InitialCapacity)*max(age, 0))
}

package policy

const coldBudgetSafety = 0.5 // part of the cold budget used

// warmFraction is the least share of its capacity a server surely has.
func (g *Gateway) warmFraction(s *server) float64 {
	if !s.HasStartTime || g.settings.WarmupTime <= 0 || g.settings.InitialCapacity <= 0 {
		return 1
	}
	age := float64(g.now-s.StartedAt) / float64(g.settings.WarmupTime)
	return min(1, g.settings.InitialCapacity+(1-g.settings.InitialCapacity)*max(age, 0))
}

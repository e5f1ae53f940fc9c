package config

import (
	"time"

	"github.com/hashicorp/hcl/v2"
)

func (l *loader) servers(in *serversBlock) {
	if in == nil {
		l.addError(l.endOfFile, "No servers", `A block is needed such as: servers { server "a" { address = "127.0.0.1:9001" } }.`)
		return
	}
	s := &l.config.Servers
	names := map[string]hcl.Range{}
	for _, block := range in.Static {
		l.checkUnique(names, "server", block.Name, block.NameRange)
		s.Static = append(s.Static, l.server(block))
	}
	if in.EDS != nil {
		s.EDSAddress = l.address(in.EDS.Address)
		s.EDSCluster = l.nonEmptyText(in.EDS.Cluster)
	}
	if (in.EDS != nil) == (len(in.Static) > 0) {
		l.addError(in.DefRange, "No source of servers, or two", "Give either server blocks or one eds block.")
	}
	s.HTTP2 = oneOf(l, in.Protocol, "http1", "http1", "http2") == "http2"
	s.InitialCapacity = l.number(in.InitialCapacity, numberBounds{Default: 0.2, Min: 0.001, Max: 1})
	s.WarmupTime = l.duration(in.WarmupTime, durationBounds{Default: 0, Min: 0, Max: time.Hour})
	s.ColdOverloadFactor = l.number(in.ColdOverloadFactor, numberBounds{Default: 2, Min: 1, Max: 1000})
	s.ColdOverloadTime = l.duration(in.ColdOverloadTime, durationBounds{Default: time.Second, Min: time.Millisecond, Max: time.Minute})
	if in.Rejection != nil {
		s.RejectionStatus = l.integer(in.Rejection.Status, integerBounds{Default: 503, Min: 400, Max: 599})
		s.RejectionHeader = l.header(in.Rejection.Header, "")
	}
}

func (l *loader) server(in serverBlock) Server {
	return Server{
		Name:    in.Name,
		Address: l.address(in.Address),
		Zone:    l.text(in.Zone, ""),
		Cell:    l.integer(in.Cell, integerBounds{Default: 0, Min: 0, Max: 1e9}),
		Weight:  l.number(in.Weight, numberBounds{Default: 1, Min: 0.001, Max: 1e6}),
	}
}

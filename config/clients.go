package config

import "time"

func (l *loader) clients(in *clientsBlock) {
	if in == nil {
		in = &clientsBlock{}
	}
	l.config.Clients = Clients{
		KeyHeader:           l.header(in.KeyHeader, "X-Api-Key"),
		ClientTimeoutHeader: l.header(in.ClientTimeoutHeader, "X-Envoy-Expected-Rq-Timeout-Ms"),
		MaxRetryAfter:       l.duration(in.MaxRetryAfter, durationBounds{Default: time.Second, Min: 0, Max: time.Hour}),
	}
}

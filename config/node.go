package config

import "log/slog"

// maxGatewayNumber is the highest number of a gateway; it has 16 bits in peer messages.
const maxGatewayNumber = 65535

func (l *loader) node(in *nodeBlock) {
	if in == nil {
		in = &nodeBlock{}
	}
	l.config.Number = l.integer(in.Number, integerBounds{Default: 0, Min: 0, Max: maxGatewayNumber})
	l.config.Name = l.text(in.Name, "")
	l.config.Zone = l.text(in.Zone, "")
	l.config.StateDir = l.text(in.StateDir, "")
}

var logLevels = map[string]slog.Level{
	"debug": slog.LevelDebug,
	"info":  slog.LevelInfo,
	"warn":  slog.LevelWarn,
	"error": slog.LevelError,
}

func (l *loader) log(in *logBlock) {
	if in == nil {
		in = &logBlock{}
	}
	l.config.LogLevel = logLevels[oneOf(l, in.Level, "info", "debug", "info", "warn", "error")]
	l.config.LogJSON = oneOf(l, in.Format, "text", "text", "json") == "json"
}

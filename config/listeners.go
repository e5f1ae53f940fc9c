package config

import (
	"slices"

	"github.com/hashicorp/hcl/v2"
)

var listenerKinds = []ListenerKind{HTTP, HTTP2, HTTPS, ExtAuthz}

func (l *loader) listeners(in []listenerBlock) {
	if len(in) == 0 {
		l.addError(l.endOfFile, "No listener", `At least one block is needed such as: listener "http" "desks" { address = "127.0.0.1:8080" }.`)
	}
	names := map[string]hcl.Range{}
	for _, block := range in {
		l.config.Listeners = append(l.config.Listeners, l.listener(block, names))
	}
}

func (l *loader) listener(in listenerBlock, names map[string]hcl.Range) Listener {
	kind := ListenerKind(in.Kind)
	if !slices.Contains(listenerKinds, kind) {
		l.addError(in.KindRange, "Unknown kind of listener", "One of these is needed here: %s.", quoted(listenerKinds))
	}
	l.checkUnique(names, "listener", in.Name, in.NameRange)
	out := Listener{
		Kind:     kind,
		Name:     in.Name,
		Address:  l.address(in.Address),
		CertFile: l.nonEmptyText(in.CertFile),
		KeyFile:  l.nonEmptyText(in.KeyFile),
	}
	tls := kind == HTTPS
	if tls != (out.CertFile != "") || tls != (out.KeyFile != "") {
		l.addError(in.NameRange, "Certificate", "A listener of kind \"https\" needs cert_file and key_file, and no other kind takes them.")
	}
	return out
}

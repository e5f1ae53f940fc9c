package config

import (
	"os"
	"reflect"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
)

// Load reads and validates a configuration file. The error is that of os.ReadFile if the file
// can't be read, otherwise a *ValidationError.
func Load(path string) (*Config, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(src, path)
}

// Parse validates the text of a configuration file. The name of the file is used only in
// messages. Parse also reads the roster file and the key file that the text refers to. The
// error is a *ValidationError.
func Parse(src []byte, name string) (*Config, error) {
	parser := hclparse.NewParser()
	parsed, diags := parser.ParseHCL(src, name)
	l := &loader{config: &Config{}}
	if !diags.HasErrors() {
		var decoded configFile
		diags = append(diags, gohcl.DecodeBody(parsed.Body, nil, &decoded)...)
		l.endOfFile = parsed.Body.MissingItemRange()
		l.requireKeys(reflect.ValueOf(decoded), l.endOfFile)
		l.evaluate(&decoded)
	}
	diags = append(diags, l.diags...)
	if diags.HasErrors() {
		sortByPosition(diags)
		return nil, &ValidationError{Diagnostics: diags, files: parser.Files()}
	}
	return l.config, nil
}

// loader evaluates the blocks of one file into a Config and collects the errors.
type loader struct {
	config    *Config
	diags     hcl.Diagnostics
	endOfFile hcl.Range // position reported for a missing block
}

// evaluate evaluates all blocks. Blocks that others depend on are evaluated first: classes
// before the authorizer, plans and peers before customers.
func (l *loader) evaluate(in *configFile) {
	l.node(in.Node)
	l.log(in.Log)
	l.listeners(in.Listeners)
	l.clients(in.Clients)
	l.classes(in.Classes)
	l.plans(in.Plans)
	l.peers(in.Peers)
	l.customers(in.Customers)
	l.servers(in.Servers)
	l.authorizer(in.Authorizer)
	l.counter(in.Counter)
	l.limits(in.Limits)
}

package config

import (
	"os"
	"reflect"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
)

// Load reads and checks a file. The error is *Mistakes where the file could be read, and
// that of os.ReadFile where it could not.
func Load(path string) (*Config, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(src, path)
}

// Parse checks the text of a file, whose name is for messages only. A roster and a key
// file that the text names are read too. The error is *Mistakes.
func Parse(src []byte, name string) (*Config, error) {
	parser := hclparse.NewParser()
	parsed, diags := parser.ParseHCL(src, name)
	l := &loader{config: &Config{}}
	if !diags.HasErrors() {
		var decoded file
		diags = append(diags, gohcl.DecodeBody(parsed.Body, nil, &decoded)...)
		l.endOfFile = parsed.Body.MissingItemRange()
		l.requireKeys(reflect.ValueOf(decoded), l.endOfFile)
		l.file(&decoded)
	}
	diags = append(diags, l.diags...)
	if diags.HasErrors() {
		sortByPlace(diags)
		return nil, &ValidationError{Diagnostics: diags, files: parser.Files()}
	}
	return l.config, nil
}

// loader evaluates the blocks of one file into a Config and collects mistakes.
type loader struct {
	config    *Config
	diags     hcl.Diagnostics
	endOfFile hcl.Range // the place of a block that is missing
}

// file evaluates all blocks. Blocks that others refer to come first: classes before the
// authorizer, plans and peers before customers.
func (l *loader) file(in *file) {
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

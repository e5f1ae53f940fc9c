package config

import (
	"errors"
	"fmt"
	"net"
	"os"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
	"github.com/hashicorp/hcl/v2/hclwrite"
	"github.com/zclconf/go-cty/cty"

	"yardcleat.example/yardcleat/membership"
)

// LoadRoster reads the roster of a fleet from a file. It returns the errors of os.ReadFile and
// ParseRoster.
func LoadRoster(path string) (*membership.Roster, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseRoster(src, path)
}

// rosterFile is a roster file as HCL decodes it. The tags are the keys in the file.
type rosterFile struct {
	Epoch        int                  `hcl:"epoch"`
	RemovedNames []string             `hcl:"gone,optional"`
	Nodes        []rosterNodeBlock    `hcl:"node,block"`
	Leaving      []rosterLeavingBlock `hcl:"leaving,block"`
}

type rosterNodeBlock struct {
	Name     string    `hcl:"name,label"`
	Address  string    `hcl:"address"`
	DefRange hcl.Range `hcl:",def_range"`
}

type rosterLeavingBlock struct {
	Name     string    `hcl:"name,label"`
	Number   int       `hcl:"number"`
	Address  string    `hcl:"address"`
	DefRange hcl.Range `hcl:",def_range"`
}

// AddressError is returned by ParseRoster for an address that is not host:port.
type AddressError struct {
	File    string
	Line    int // from 1
	Address string
}

func (e *AddressError) Error() string {
	return fmt.Sprintf("%s:%d: %q is not an address such as \"10.0.0.1:7000\"", e.File, e.Line, e.Address)
}

// ParseRoster parses and validates a roster. The name of its file is used in error messages,
// together with the line. The error joins an *AddressError for each invalid address.
func ParseRoster(src []byte, name string) (*membership.Roster, error) {
	in, err := decodeRoster(src, name)
	if err != nil {
		return nil, err
	}
	if in.Epoch < 0 {
		return nil, fmt.Errorf("%s: the epoch is below 0", name)
	}
	roster := &membership.Roster{Epoch: uint64(in.Epoch), RemovedNames: in.RemovedNames}
	var errs []error
	for _, n := range in.Nodes {
		errs = append(errs, checkRosterAddress(n.Address, n.DefRange))
		roster.Nodes = append(roster.Nodes, membership.Node{Name: n.Name, Address: n.Address})
	}
	for _, n := range in.Leaving {
		errs = append(errs, checkRosterAddress(n.Address, n.DefRange))
		leaving := membership.LeavingNode{Number: n.Number, Node: membership.Node{Name: n.Name, Address: n.Address}}
		roster.Leaving = append(roster.Leaving, leaving)
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	if err := roster.Validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return roster, nil
}

func decodeRoster(src []byte, name string) (in rosterFile, err error) {
	parsed, diags := hclparse.NewParser().ParseHCL(src, name)
	if !diags.HasErrors() {
		diags = append(diags, gohcl.DecodeBody(parsed.Body, nil, &in)...)
	}
	if diags.HasErrors() {
		return in, errors.Join(diags.Errs()...)
	}
	return in, nil
}

// checkRosterAddress returns nil for host:port, otherwise an *AddressError with the position.
func checkRosterAddress(address string, at hcl.Range) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return &AddressError{File: at.Filename, Line: at.Start.Line, Address: address}
	}
	return nil
}

// FormatRoster returns the text of a roster file. ParseRoster returns the same roster for it.
func FormatRoster(r *membership.Roster) []byte {
	f := hclwrite.NewEmptyFile()
	body := f.Body()
	body.SetAttributeValue("epoch", cty.NumberUIntVal(r.Epoch))
	if len(r.RemovedNames) > 0 {
		var names []cty.Value
		for _, name := range r.RemovedNames {
			names = append(names, cty.StringVal(name))
		}
		body.SetAttributeValue("gone", cty.ListVal(names))
	}
	for _, n := range r.Nodes {
		body.AppendNewline()
		body.AppendNewBlock("node", []string{n.Name}).Body().SetAttributeValue("address", cty.StringVal(n.Address))
	}
	for _, l := range r.Leaving {
		body.AppendNewline()
		b := body.AppendNewBlock("leaving", []string{l.Name}).Body()
		b.SetAttributeValue("number", cty.NumberIntVal(int64(l.Number)))
		b.SetAttributeValue("address", cty.StringVal(l.Address))
	}
	return append([]byte("# Nodes have numbers in the order in which they stand. Made by \"yardcleat roster\".\n\n"),
		hclwrite.Format(f.Bytes())...)
}

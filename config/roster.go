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

// LoadRoster reads the roster of a fleet from a file.
func LoadRoster(path string) (*membership.Roster, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseRoster(src, path)
}

// ParseRoster reads a roster; the name is for messages, which name its lines.
func ParseRoster(src []byte, name string) (*membership.Roster, error) {
	var in struct {
		Epoch int      `hcl:"epoch"`
		Gone  []string `hcl:"gone,optional"`
		Nodes []struct {
			Name    string    `hcl:"name,label"`
			Address string    `hcl:"address"`
			At      hcl.Range `hcl:",def_range"`
		} `hcl:"node,block"`
		Leaving []struct {
			Name    string    `hcl:"name,label"`
			Number  int       `hcl:"number"`
			Address string    `hcl:"address"`
			At      hcl.Range `hcl:",def_range"`
		} `hcl:"leaving,block"`
	}
	f, diags := hclparse.NewParser().ParseHCL(src, name)
	if !diags.HasErrors() {
		diags = append(diags, gohcl.DecodeBody(f.Body, nil, &in)...)
	}
	if diags.HasErrors() {
		return nil, errors.Join(diags.Errs()...)
	}
	if in.Epoch < 0 {
		return nil, fmt.Errorf("%s: the epoch is below 0", name)
	}
	address := func(a string, at hcl.Range) error {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return fmt.Errorf("%s:%d: %q is not an address such as \"10.0.0.1:7000\"", at.Filename, at.Start.Line, a)
		}
		return nil
	}
	r := &membership.Roster{Epoch: uint64(in.Epoch), RemovedNames: in.Gone}
	var errs []error
	for _, n := range in.Nodes {
		errs = append(errs, address(n.Address, n.At))
		r.Nodes = append(r.Nodes, membership.Node{Name: n.Name, Address: n.Address})
	}
	for _, l := range in.Leaving {
		errs = append(errs, address(l.Address, l.At))
		r.Leaving = append(r.Leaving, membership.LeavingNode{Number: l.Number, Node: membership.Node{Name: l.Name, Address: l.Address}})
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	if err := r.Validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return r, nil
}

// WriteRoster makes the file that ParseRoster reads back.
func WriteRoster(r *membership.Roster) []byte {
	f := hclwrite.NewEmptyFile()
	body := f.Body()
	body.SetAttributeValue("epoch", cty.NumberUIntVal(r.Epoch))
	if len(r.RemovedNames) > 0 {
		var gone []cty.Value
		for _, g := range r.RemovedNames {
			gone = append(gone, cty.StringVal(g))
		}
		body.SetAttributeValue("gone", cty.ListVal(gone))
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

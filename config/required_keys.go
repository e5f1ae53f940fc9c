package config

import (
	"reflect"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
)

// hclTag is the tag of the fields of blocks: the key, and behind a comma what kind of field it is.
const hclTag = "hcl"

var (
	expressionType = reflect.TypeFor[hcl.Expression]()
	rangeType      = reflect.TypeFor[hcl.Range]()
)

// requireKeys reports each key that a block must have and does not: the decoder takes every
// expression for optional. block is a struct of hcl_schema.go; place is where a block stands that
// has no range of its own.
func (l *loader) requireKeys(block reflect.Value, place hcl.Range) {
	place = blockRange(block, place)
	for i := range block.NumField() {
		key, kind, _ := strings.Cut(block.Type().Field(i).Tag.Get(hclTag), ",")
		field := block.Field(i)
		switch {
		case kind == "block":
			l.requireKeysOfBlocks(field, place)
		case kind == "" && field.Type() == expressionType && isMissing(field):
			l.mistake(place, "Missing key", "The key %q is needed in this block.", key)
		}
	}
}

// requireKeysOfBlocks checks a field of one block, which may be absent, or of a list of them.
func (l *loader) requireKeysOfBlocks(field reflect.Value, place hcl.Range) {
	switch {
	case field.Kind() == reflect.Slice:
		for i := range field.Len() {
			l.requireKeys(field.Index(i), place)
		}
	case !field.IsNil():
		l.requireKeys(field.Elem(), place)
	}
}

// blockRange is the range that the decoder has noted for a block: of its definition, or of its label.
func blockRange(block reflect.Value, otherwise hcl.Range) hcl.Range {
	found := otherwise
	for i := range block.NumField() {
		_, kind, _ := strings.Cut(block.Type().Field(i).Tag.Get(hclTag), ",")
		if block.Field(i).Type() == rangeType && slices.Contains([]string{"def_range", "label_range"}, kind) {
			found, _ = block.Field(i).Interface().(hcl.Range)
		}
	}
	return found
}

// isMissing reports whether a file does not set a key at all, or sets it to null.
func isMissing(field reflect.Value) bool {
	e, _ := field.Interface().(hcl.Expression)
	return !isSet(e)
}

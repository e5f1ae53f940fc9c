package config

import (
	"reflect"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
)

// hclTag is the name of the struct tag of block fields. Its value is the key and, after a comma, the
// kind of the field.
const hclTag = "hcl"

var (
	expressionType = reflect.TypeFor[hcl.Expression]()
	rangeType      = reflect.TypeFor[hcl.Range]()
)

// requireKeys reports each missing key that a block must have; the decoder treats every
// expression as optional. block is a struct of hcl_schema.go; defaultRange is the position of a
// block that has no range of its own.
func (l *loader) requireKeys(block reflect.Value, defaultRange hcl.Range) {
	defaultRange = blockRange(block, defaultRange)
	for i := range block.NumField() {
		key, kind, _ := strings.Cut(block.Type().Field(i).Tag.Get(hclTag), ",")
		field := block.Field(i)
		switch {
		case kind == "block":
			l.requireKeysOfBlocks(field, defaultRange)
		case kind == "" && field.Type() == expressionType && isMissing(field):
			l.addError(defaultRange, "Missing key", "The key %q is needed in this block.", key)
		}
	}
}

// requireKeysOfBlocks checks a field that holds one optional block or a list of blocks.
func (l *loader) requireKeysOfBlocks(field reflect.Value, defaultRange hcl.Range) {
	switch {
	case field.Kind() == reflect.Slice:
		for i := range field.Len() {
			l.requireKeys(field.Index(i), defaultRange)
		}
	case !field.IsNil():
		l.requireKeys(field.Elem(), defaultRange)
	}
}

// blockRange returns the range of a block's definition or label as recorded by the decoder, or
// defaultRange if the block has neither.
func blockRange(block reflect.Value, defaultRange hcl.Range) hcl.Range {
	found := defaultRange
	for i := range block.NumField() {
		_, kind, _ := strings.Cut(block.Type().Field(i).Tag.Get(hclTag), ",")
		if block.Field(i).Type() == rangeType && slices.Contains([]string{"def_range", "label_range"}, kind) {
			found, _ = block.Field(i).Interface().(hcl.Range)
		}
	}
	return found
}

// isMissing reports whether a key is not set or is set to null.
func isMissing(field reflect.Value) bool {
	e, _ := field.Interface().(hcl.Expression)
	return !isSet(e)
}

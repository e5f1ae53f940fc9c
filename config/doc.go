// Package config reads the configuration of a gateway from HCL and validates it. Every error
// is reported with its file, its line and a description of a valid value.
//
// Parse decodes the text into the blocks of hcl_schema.go, whose values are still
// expressions. The code of each block is in its own file: it evaluates the expressions, applies
// defaults and bounds, and fills its part of Config. All errors are collected in one
// *ValidationError.
package config

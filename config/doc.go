// Package config reads the configuration of a gateway from HCL and checks all of it. Every
// mistake is reported with its file, its line and what would be right.
//
// Parse decodes the text into the blocks of hcl_schema.go, whose values are still
// expressions. Each block has a file of its own that evaluates them, applies defaults and
// bounds, and fills its part of Config. Whatever is wrong is added to one *Mistakes.
package config

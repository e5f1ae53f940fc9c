package config

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
)

// ValidationError is the error of Load and Parse for a text that is not a valid configuration. It
// contains every mistake that was found, ordered as sortByPlace says.
type ValidationError struct {
	Diagnostics hcl.Diagnostics // at least one
	files       map[string]*hcl.File
}

// sourceWidth is the column at which the text of Error wraps.
const sourceWidth = 100

// Error returns a paragraph for each mistake, with the lines of the file around it.
func (m *ValidationError) Error() string {
	var text bytes.Buffer
	w := hcl.NewDiagnosticTextWriter(&text, m.files, sourceWidth, false)
	if err := w.WriteDiagnostics(m.Diagnostics); err != nil {
		return m.Diagnostics.Error()
	}
	return strings.TrimSpace(text.String())
}

// sortByPlace puts diagnostics into the order of the file where each has a place; those at
// the same place keep their order. A diagnostic without a place compares equal to every
// other: where there is one, the order of the rest is not defined.
func sortByPlace(diags hcl.Diagnostics) {
	slices.SortStableFunc(diags, func(a, b *hcl.Diagnostic) int {
		if a.Subject == nil || b.Subject == nil {
			return 0
		}
		return a.Subject.Start.Byte - b.Subject.Start.Byte
	})
}

// mistake adds a mistake at a place; detail describes a valid value.
func (l *loader) mistake(at hcl.Range, summary, detail string, args ...any) {
	l.diags = append(l.diags, &hcl.Diagnostic{
		Severity: hcl.DiagError,
		Summary:  summary,
		Detail:   fmt.Sprintf(detail, args...),
		Subject:  &at,
	})
}

// checkUnique reports a name that is empty or in use, and marks it as used in seen.
func (l *loader) checkUnique(seen map[string]hcl.Range, what, name string, at hcl.Range) {
	if name == "" {
		l.mistake(at, "Empty name", "A %s needs a name.", what)
	} else if first, used := seen[name]; used {
		l.mistake(at, "Name used twice", "There is a %s %q already, at %s.", what, name, first)
	}
	seen[name] = at
}

package config

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
)

// ValidationError is the error of Load and Parse for a text that is not a valid configuration. It
// contains every error that was found, in the order of sortByPosition.
type ValidationError struct {
	Diagnostics hcl.Diagnostics // at least one
	files       map[string]*hcl.File
}

// errorTextWidth is the column at which the text of Error wraps.
const errorTextWidth = 100

// Error returns a paragraph for each diagnostic, with the lines of the file that it refers to.
func (e *ValidationError) Error() string {
	var text bytes.Buffer
	w := hcl.NewDiagnosticTextWriter(&text, e.files, errorTextWidth, false)
	if err := w.WriteDiagnostics(e.Diagnostics); err != nil {
		return e.Diagnostics.Error()
	}
	return strings.TrimSpace(text.String())
}

// sortByPosition sorts diagnostics by their position in the file; those at the same position
// keep their order. A diagnostic without a position compares equal to every other, so if there
// is one, the order of the others is undefined.
func sortByPosition(diags hcl.Diagnostics) {
	slices.SortStableFunc(diags, func(a, b *hcl.Diagnostic) int {
		if a.Subject == nil || b.Subject == nil {
			return 0
		}
		return a.Subject.Start.Byte - b.Subject.Start.Byte
	})
}

// addError adds an error at a position; detail describes a valid value.
func (l *loader) addError(at hcl.Range, summary, detail string, args ...any) {
	l.diags = append(l.diags, &hcl.Diagnostic{
		Severity: hcl.DiagError,
		Summary:  summary,
		Detail:   fmt.Sprintf(detail, args...),
		Subject:  &at,
	})
}

// checkUnique reports a name that is empty or already in seen, and adds it to seen. kind is the
// kind of block that has the name.
func (l *loader) checkUnique(seen map[string]hcl.Range, kind, name string, at hcl.Range) {
	if name == "" {
		l.addError(at, "Empty name", "A %s needs a name.", kind)
	} else if first, used := seen[name]; used {
		l.addError(at, "Name used twice", "There is a %s %q already, at %s.", kind, name, first)
	}
	seen[name] = at
}

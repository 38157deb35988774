// Package find collects findings about an input, each with its place, so that
// they can be reported together instead of one at a time.
package find

import (
	"fmt"
	"strings"
)

// Position is a position in a text. Line and Column count from 1; zero means the
// finding concerns Name as a whole, such as a flag.
type Position struct {
	Name   string
	Line   int
	Column int
}

// String gives the place in the customary name:line:column form.
func (p Position) String() string {
	if p.Line == 0 {
		return p.Name
	}
	return fmt.Sprintf("%s:%d:%d", p.Name, p.Line, p.Column)
}

// Finding is one thing wrong at one place.
type Finding struct {
	Position Position
	Message  string
}

// List is an ordered collection of findings. A non-empty List is an error.
type List []Finding

// Add appends a finding built from a format.
func (l *List) Add(p Position, format string, args ...any) {
	*l = append(*l, Finding{Position: p, Message: fmt.Sprintf(format, args...)})
}

// Err returns the list as an error, or nil when nothing was found.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Error gives one line a finding.
func (l List) Error() string {
	lines := make([]string, 0, len(l))
	for _, f := range l {
		lines = append(lines, f.Position.String()+": "+f.Message)
	}
	return strings.Join(lines, "\n")
}

// Package find collects the problems found in an input, each with its position, so that
// they can be reported together instead of one at a time.
package find

import (
	"fmt"
	"strings"
)

// Position is a position in an input. Line and Column start at 1; a zero Line means that
// the finding concerns Name as a whole, such as a flag.
type Position struct {
	Name   string
	Line   int
	Column int
}

// String formats the position as name:line:column, or as the name alone if Line is zero.
func (p Position) String() string {
	if p.Line == 0 {
		return p.Name
	}
	return fmt.Sprintf("%s:%d:%d", p.Name, p.Line, p.Column)
}

// Finding is a problem at a position.
type Finding struct {
	Position Position
	Message  string
}

// List is an ordered list of findings. A non-empty List is an error.
type List []Finding

// Add appends a finding with a formatted message.
func (l *List) Add(p Position, format string, args ...any) {
	*l = append(*l, Finding{Position: p, Message: fmt.Sprintf(format, args...)})
}

// Err returns the list as an error, or nil if it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Error returns one line per finding.
func (l List) Error() string {
	lines := make([]string, 0, len(l))
	for _, f := range l {
		lines = append(lines, f.Position.String()+": "+f.Message)
	}
	return strings.Join(lines, "\n")
}

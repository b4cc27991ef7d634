package slope

import (
	"fmt"
	"io"
)

// Printer writes slopes and single figures.
type Printer struct {
	Out io.Writer
}

// Slope writes a fitted line.
func (p *Printer) Slope(s *Slope) { p.line(s.String()) }

// Figure writes a figure that was measured at one size, with a note on it.
func (p *Printer) Figure(name string, value float64, unit, at string) {
	p.line(fmt.Sprintf("figure=%s value=%s unit=%s at=%q", name, number(value), unit, at))
}

func (p *Printer) line(text string) { _, _ = fmt.Fprintln(p.Out, text) }

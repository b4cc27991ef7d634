package slope

import (
	"fmt"
	"io"
)

// Printer writes slopes and single figures, one per line.
type Printer struct {
	Out io.Writer
}

// Slope writes a slope with its points.
func (p *Printer) Slope(s *Slope) { p.line(s.String()) }

// Figure writes a figure that was measured at a single size, which at describes.
func (p *Printer) Figure(name string, value float64, unit, at string) {
	p.line(fmt.Sprintf("figure=%s value=%s unit=%s at=%q", name, formatNumber(value), unit, at))
}

func (p *Printer) line(text string) { _, _ = fmt.Fprintln(p.Out, text) }

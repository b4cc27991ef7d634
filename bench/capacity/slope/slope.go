package slope

import (
	"fmt"
	"strconv"
	"strings"
)

// Slope is a cost that is measured at several sizes and fitted by a line.
type Slope struct {
	Name string
	// Unit is the unit of Y per unit of X, for example "B/s/node".
	Unit   string
	Points []Point
}

// Fit returns the least-squares slope and intercept, and the coefficient of
// determination (R²). A single point gives a line through the origin.
func (s *Slope) Fit() (slope, intercept, r2 float64) {
	n := float64(len(s.Points))
	if n == 1 {
		return s.Points[0].Y / s.Points[0].X, 0, 1
	}
	var meanX, meanY float64
	for _, p := range s.Points {
		meanX, meanY = meanX+p.X/n, meanY+p.Y/n
	}
	var sxx, sxy, syy float64
	for _, p := range s.Points {
		dx, dy := p.X-meanX, p.Y-meanY
		sxx, sxy, syy = sxx+dx*dx, sxy+dx*dy, syy+dy*dy
	}
	slope = sxy / sxx
	r2 = 1
	if syy > 0 {
		r2 = sxy * sxy / (sxx * syy)
	}
	return slope, meanY - slope*meanX, r2
}

// Add adds a point.
func (s *Slope) Add(x, y float64) { s.Points = append(s.Points, Point{x, y}) }

// String returns the slope and its points as key=value pairs.
func (s *Slope) String() string {
	slope, intercept, r2 := s.Fit()
	points := make([]string, len(s.Points))
	for i, p := range s.Points {
		points[i] = formatNumber(p.X) + ":" + formatNumber(p.Y)
	}
	return fmt.Sprintf("slope=%s value=%s unit=%s n=%d intercept=%s r2=%.3f points=%s",
		s.Name, formatNumber(slope), s.Unit, len(s.Points), formatNumber(intercept), r2, strings.Join(points, ","))
}

// significantDigits is the precision of printed numbers.
const significantDigits = 4

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', significantDigits, 64) }

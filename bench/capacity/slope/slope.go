package slope

import (
	"fmt"
	"strconv"
	"strings"
)

// Slope is a line fitted through points.
type Slope struct {
	Name string
	// Unit is the unit of Y for each one of X, for example "B/s/node".
	Unit   string
	Points []Point
}

// Fit returns the least-squares slope and intercept, and the share of the
// variance of Y that the line explains. A single point gives a line through
// the origin.
func (s *Slope) Fit() (slope, intercept, r2 float64) {
	n := float64(len(s.Points))
	if n == 1 {
		return s.Points[0].Y / s.Points[0].X, 0, 1
	}
	var mx, my float64
	for _, p := range s.Points {
		mx, my = mx+p.X/n, my+p.Y/n
	}
	var xx, xy, yy float64
	for _, p := range s.Points {
		dx, dy := p.X-mx, p.Y-my
		xx, xy, yy = xx+dx*dx, xy+dx*dy, yy+dy*dy
	}
	slope = xy / xx
	r2 = 1
	if yy > 0 {
		r2 = xy * xy / (xx * yy)
	}
	return slope, my - slope*mx, r2
}

// Add adds a point.
func (s *Slope) Add(x, y float64) { s.Points = append(s.Points, Point{x, y}) }

// String returns the line that the measurements print.
func (s *Slope) String() string {
	slope, intercept, r2 := s.Fit()
	points := make([]string, len(s.Points))
	for i, p := range s.Points {
		points[i] = number(p.X) + ":" + number(p.Y)
	}
	return fmt.Sprintf("slope=%s value=%s unit=%s n=%d intercept=%s r2=%.3f points=%s",
		s.Name, number(slope), s.Unit, len(s.Points), number(intercept), r2, strings.Join(points, ","))
}

// significant is the number of significant digits that are printed.
const significant = 4

func number(v float64) string { return strconv.FormatFloat(v, 'g', significant, 64) }

// Package report forms the lines of output of the measurements.
package report

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Line is one figure.
type Line struct {
	Measure, Shape string
	Value          float64
	// Naive is the figure of the naive proxy, nil if there is none.
	Naive *float64
	// Target is the figure to reach, nil if there is none.
	Target *float64
	// N is the number of samples per condition.
	N int
	// Extra holds further key=value pairs that explain the figure.
	Extra []string
}

// Number returns a pointer to a number, for the optional fields of a Line.
func Number(v float64) *float64 { return &v }

// String returns the line as key=value pairs.
func (l Line) String() string {
	out := fmt.Sprintf("measure=%s shape=%s value=%s naive=%s target=%s n=%d",
		l.Measure, l.Shape, format(&l.Value), format(l.Naive), format(l.Target), l.N)
	if len(l.Extra) > 0 {
		out += " " + strings.Join(l.Extra, " ")
	}
	return out
}

func format(v *float64) string {
	if v == nil {
		return "-"
	}
	if math.Abs(*v) >= 1000 && !math.IsInf(*v, 0) {
		return strconv.FormatFloat(*v, 'f', 0, 64)
	}
	return strconv.FormatFloat(*v, 'g', 4, 64)
}

// Pair returns an entry of Line.Extra.
func Pair(key string, value float64) string { return key + "=" + format(&value) }

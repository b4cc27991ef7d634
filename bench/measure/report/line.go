// Package report formats the output lines of the measurements.
package report

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Line is the output line of one figure.
type Line struct {
	Measure, Shape string
	Value          float64
	// Naive is the value for the naive proxy, nil if there is none.
	Naive *float64
	// Target is the value to reach, nil if there is none.
	Target *float64
	// N is the number of samples per condition.
	N int
	// Extra holds key=value pairs with further values that explain the figure.
	Extra []string
}

// FloatPtr returns a pointer to v, for the optional fields of a Line.
func FloatPtr(v float64) *float64 { return &v }

// String returns the line as key=value pairs.
func (l Line) String() string {
	out := fmt.Sprintf("measure=%s shape=%s value=%s naive=%s target=%s n=%d",
		l.Measure, l.Shape, formatValue(&l.Value), formatValue(l.Naive), formatValue(l.Target), l.N)
	if len(l.Extra) > 0 {
		out += " " + strings.Join(l.Extra, " ")
	}
	return out
}

func formatValue(v *float64) string {
	if v == nil {
		return "-"
	}
	if math.Abs(*v) >= 1000 && !math.IsInf(*v, 0) {
		return strconv.FormatFloat(*v, 'f', 0, 64)
	}
	return strconv.FormatFloat(*v, 'g', 4, 64)
}

// KeyValue formats an entry of Line.Extra.
func KeyValue(key string, value float64) string { return key + "=" + formatValue(&value) }

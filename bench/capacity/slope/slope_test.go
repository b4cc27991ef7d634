package slope

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a fit that counts a constant cost as part of the slope, and against
// an output line whose points cannot be parsed.
func TestSlopeFitAndString(t *testing.T) {
	g := NewWithT(t)
	s := Slope{Name: "x", Unit: "B"}
	s.Add(10, 25)
	s.Add(20, 45)
	s.Add(40, 85)
	value, intercept, r2 := s.Fit()
	g.Expect([]float64{value, intercept, r2}).To(HaveExactElements(
		BeNumerically("~", 2, 1e-9), BeNumerically("~", 5, 1e-9), BeNumerically("~", 1, 1e-9)))
	g.Expect(s.String()).To(Equal("slope=x value=2 unit=B n=3 intercept=5 r2=1.000 points=10:25,20:45,40:85"))
}

package slope

// Point is one measurement: Y at the size X.
type Point struct {
	X, Y float64
}

package slope

// Point is one measurement: the cost Y at the size X.
type Point struct {
	X, Y float64
}

package figures

// seed returns the seed of a round: conditions that are compared use the same
// arrivals.
func seed(shape uint64, measure, round int) uint64 {
	return shape*1_000_000 + uint64(measure)*1_000 + uint64(round)
}

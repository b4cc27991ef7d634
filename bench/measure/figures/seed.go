package figures

// seed returns the seed of the arrivals in a round of a measurement. It does not
// depend on the condition, so that compared conditions have the same arrivals.
func seed(shape uint64, measure, round int) uint64 {
	return shape*1_000_000 + uint64(measure)*1_000 + uint64(round)
}

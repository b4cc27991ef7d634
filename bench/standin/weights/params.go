package weights

// Params configures the service.
type Params struct {
	// Size is the size of the weights of each model version in bytes.
	Size int64
	// Rate is the total rate of all streams in bytes per second, 0 for no limit.
	Rate float64
	// Models lists the models that exist, as "model@version". If it is empty,
	// every model exists.
	Models []string
}

// DefaultParams returns models of 64 MiB and a total rate of 64 MiB/s.
func DefaultParams() Params { return Params{Size: 64 << 20, Rate: 64 << 20} }

package weights

// Params are the fixed properties of the service.
type Params struct {
	// Size is the size of each model version in bytes.
	Size int64
	// Rate is the total rate of all streams in bytes per second.
	Rate float64
	// Models lists the models that exist, as "model@version". Without any,
	// every model exists.
	Models []string
}

// DefaultParams returns a store of 64 MiB models at 64 MiB/s.
func DefaultParams() Params { return Params{Size: 64 << 20, Rate: 64 << 20} }

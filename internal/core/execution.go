package core

// Execution says whether a refused or failed piece of work was run.
type Execution uint8

const (
	// ExecutionUnknown means that the work may have run.
	ExecutionUnknown Execution = iota
	// NotRun means that the work certainly did not run and will not run.
	NotRun
)

// String returns "unknown" or "not_run".
func (e Execution) String() string {
	if e == NotRun {
		return "not_run"
	}
	return "unknown"
}

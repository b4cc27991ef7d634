package core

// Execution tells whether refused or failed work may have been executed. Work
// that was certainly not executed is safe to repeat.
type Execution uint8

const (
	// ExecutionUnknown means that the work may have run, completely or in part.
	ExecutionUnknown Execution = iota
	// NotRun means that the work certainly did not run and will not run later.
	NotRun
)

// String returns "unknown" or "not_run".
func (e Execution) String() string {
	if e == NotRun {
		return "not_run"
	}
	return "unknown"
}

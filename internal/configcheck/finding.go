package configcheck

import "fmt"

// Severity says what a finding means for the configuration.
type Severity string

const (
	// SeverityError is the severity of what must not be sent.
	SeverityError Severity = "error"
	// SeverityWarning is that of what is accepted and does not do what it seems to.
	SeverityWarning Severity = "warning"
)

// Finding is something wrong with an entry.
type Finding struct {
	Line     int      `json:"line"`
	Severity Severity `json:"severity"`
	Entry    string   `json:"entry"`
	Message  string   `json:"message"`
}

// report collects findings.
type report []Finding

func (r *report) add(line int, severity Severity, entry, format string, args ...any) {
	*r = append(*r, Finding{Line: line, Severity: severity, Entry: entry, Message: fmt.Sprintf(format, args...)})
}

package core

// Secret holds a value that must not appear in logs, dumps or error messages.
// It is formatted and encoded as "redacted".
type Secret struct {
	// reveal is a function because fmt prints unexported fields of nested values
	// without calling their methods and follows pointers for some verbs, so a
	// plain field would be printed.
	reveal func() []byte
}

const redacted = "redacted"

// NewSecret wraps a value. It does not copy it.
func NewSecret(value []byte) Secret { return Secret{reveal: func() []byte { return value }} }

// Reveal returns the value, or nil for the zero Secret. Callers must not modify
// it.
func (s Secret) Reveal() []byte {
	if s.reveal == nil {
		return nil
	}
	return s.reveal()
}

// String returns "redacted".
func (Secret) String() string { return redacted }

// GoString returns "redacted".
func (Secret) GoString() string { return redacted }

// MarshalText returns "redacted". JSON encoders and log handlers use it.
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

package core

// Secret is a value that must not appear in logs, dumps or error messages.
// Formatting and encoding it give "redacted".
type Secret struct {
	// A function, because fmt prints unexported fields of nested values without
	// calling their methods, and follows pointers for some verbs.
	reveal func() []byte
}

const redacted = "redacted"

// NewSecret returns a secret that holds the value.
func NewSecret(value []byte) Secret { return Secret{reveal: func() []byte { return value }} }

// Reveal returns the value itself. Callers don't change it.
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

// MarshalText returns "redacted"; JSON and log handlers use it.
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

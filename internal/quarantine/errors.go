package quarantine

import "github.com/pkg/errors"

// ErrQuarantined is the cause with which requests are cancelled when one of their
// parts is quarantined.
var ErrQuarantined = errors.New("a part of the prompt is quarantined because requests with it crash replicas")

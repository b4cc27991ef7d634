package naive

import (
	"errors"
	"net"
)

// connectFailed reports whether a call failed while connecting, before it was sent.
func connectFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

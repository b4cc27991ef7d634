package harness

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

// The ports are below the ephemeral port range of the system (32768 and up). A free
// ephemeral port may be taken by an outgoing connection before the process that
// it was chosen for listens on it.
const (
	firstPort = 10_000
	portCount = 20_000
	// portStride spaces the first ports of processes with adjacent process ids, so
	// that processes that run at once try different ports.
	portStride = 997
)

var nextPort atomic.Uint64

func init() { nextPort.Store(uint64(os.Getpid()) * portStride) }

// FreeAddresses returns n different loopback addresses with ports that are free at
// the moment.
func FreeAddresses(n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for range portCount {
		if len(addresses) == n {
			return addresses, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			addresses = append(addresses, address)
		}
	}
	return nil, errors.Errorf("found fewer than %d free ports starting at %d", n, firstPort)
}

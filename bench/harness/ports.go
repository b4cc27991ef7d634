package harness

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

// The ports lie below the range from which the system takes the ports of
// outgoing connections (32768 and up): a port of that range that is free now
// may be taken by a connection before the process that it is meant for listens.
const (
	firstPort = 10_000
	portCount = 20_000
	// portStride spreads the first ports of processes that run at once.
	portStride = 997
)

var nextPort atomic.Uint64

func init() { nextPort.Store(uint64(os.Getpid()) * portStride) }

// FreeAddresses returns n different loopback addresses whose ports are free.
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
	return nil, errors.Errorf("no %d free ports from %d on", n, firstPort)
}

package stand

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// firstPort and portRange bound the allocated ports. They lie below the ephemeral ports, so that no outgoing
	// connection uses the port of a process before it starts or while it restarts.
	firstPort = 10000
	portRange = 20000
	// portsPerProcess separates the first ports of processes with consecutive IDs, so that processes that run in parallel
	// allocate different ports.
	portsPerProcess = 200
)

var nextPort atomic.Int64

// FreeAddress returns a loopback address on which nobody listens. It fails when all ports of the range are in use.
func FreeAddress() (string, error) {
	base := int64(os.Getpid()) * portsPerProcess
	for range portRange {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+(base+nextPort.Add(1))%portRange)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, errors.Wrap(l.Close(), "close the listener on a free port")
	}
	return "", errors.Errorf("no port between %d and %d is free", firstPort, firstPort+portRange)
}

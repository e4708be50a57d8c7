package entry

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// measureRoundTrip returns the round-trip time that the kernel has measured on a TCP connection; 0 if it states none.
func measureRoundTrip(c net.Conn) time.Duration {
	tcp, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	var roundTrip time.Duration
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			roundTrip = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	return roundTrip
}

package entry

import (
	"fmt"
	"net"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// connLogger logs what the HTTP server says about connections. It implements fasthttp.Logger.
type connLogger struct {
	log hclog.Logger
}

// Printf logs a message. Errors that are not the network's are logged by their type only, since the text of a parser's error quotes
// the bytes that came, which may hold a key.
func (l connLogger) Printf(format string, args ...any) {
	for i, arg := range args {
		var network net.Error
		if err, ok := arg.(error); ok && !errors.As(err, &network) {
			args[i] = fmt.Sprintf("%T", errors.Cause(err))
		}
	}
	l.log.Debug(fmt.Sprintf(format, args...))
}

// Package crowd plays callers that keep no limits: requests that are too large, without end or slow, and unread answers.
package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/timer"
)

const (
	// dripGap is the pause between two bytes of a slow client, and redialGap the one before a client whose connection was
	// closed opens another.
	dripGap   = 50 * time.Millisecond
	redialGap = 50 * time.Millisecond
)

// Door is a listener of a host. Head is the request line of a request that it accepts, with all header lines but the one that
// frames the body; Whole is a complete request. Both may hold IDPlace, which a new request ID replaces.
type Door struct {
	Address string
	Head    string
	Whole   string
}

// Crowd is a number of clients with the same manner.
type Crowd struct {
	Door    Door
	Manner  Manner
	Clients int
}

// Run lets all clients call the door again and again until ctx ends, and returns the number of connections that were opened.
func (c Crowd) Run(ctx context.Context) int {
	opened := make([]int, c.Clients)
	var group errgroup.Group
	for i := range c.Clients {
		group.Go(func() error {
			for ctx.Err() == nil {
				if c.call(ctx) {
					opened[i]++
				}
				_ = timer.Sleep(ctx, redialGap)
			}
			return nil
		})
	}
	_ = group.Wait()
	total := 0
	for _, n := range opened {
		total += n
	}
	return total
}

// call opens one connection, behaves in the crowd's manner and keeps the connection until the host closes it or ctx ends. It
// reports whether the connection was opened.
func (c Crowd) call(ctx context.Context) bool {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", c.Door.Address)
	if err != nil {
		return false
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer func() { _ = conn.Close() }()
	var group errgroup.Group
	if !c.Manner.Unread {
		group.Go(func() error {
			_, _ = io.Copy(io.Discard, conn)
			return conn.Close()
		})
	}
	if c.send(ctx, conn) == nil && c.Manner.Unread {
		<-ctx.Done()
	}
	_ = group.Wait()
	return true
}

// send writes what the manner says until the host closes the connection or ctx ends.
func (c Crowd) send(ctx context.Context, conn net.Conn) error {
	for range c.Manner.Whole {
		if _, err := io.WriteString(conn, withID(c.Door.Whole)); err != nil {
			return err
		}
	}
	if c.Manner.Start == "" && c.Manner.Piece == "" {
		return nil
	}
	if _, err := io.WriteString(conn, withID(c.Door.Head)+c.Manner.Start); err != nil {
		return err
	}
	for sent := 0; c.Manner.Piece != "" && sent+len(c.Manner.Piece) <= c.Manner.Bytes; sent += len(c.Manner.Piece) {
		if _, err := io.WriteString(conn, c.Manner.Piece); err != nil {
			return err
		}
		if c.Manner.Slow {
			if err := timer.Sleep(ctx, dripGap); err != nil {
				return err
			}
		}
	}
	return nil
}

// IDPlace stands for the ID of a request.
const IDPlace = "{id}"

var requestCount atomic.Int64

// withID puts a new request ID into the text of a request.
func withID(text string) string {
	return strings.Replace(text, IDPlace, fmt.Sprintf("c%015x", requestCount.Add(1)), 1)
}

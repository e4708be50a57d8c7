package crowd

import (
	"context"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/timer"
)

// Streams is a number of clients that each send a body over a connection of HTTP/2 and leave it unfinished.
type Streams struct {
	// URL is the address of the request, ContentType that of its body.
	URL         string
	ContentType string
	Clients     int
	// Each is the number of requests in parallel on each connection, Bytes the part of each body that is sent.
	Each  int
	Bytes int
}

// Run lets all clients send again and again until ctx ends.
func (s Streams) Run(ctx context.Context) {
	var group errgroup.Group
	for range s.Clients {
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		client := &http.Client{
			Transport: &http.Transport{
				Protocols: protocols,
			},
		}
		for range s.Each {
			group.Go(func() error {
				for ctx.Err() == nil {
					s.call(ctx, client)
					_ = timer.Sleep(ctx, redialGap)
				}
				client.CloseIdleConnections()
				return nil
			})
		}
	}
	_ = group.Wait()
}

// call sends one request and waits until the host answers it or ctx ends.
func (s Streams) call(ctx context.Context, client *http.Client) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL, &unfinished{ctx: ctx, left: s.Bytes})
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", s.ContentType)
	response, err := client.Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// unfinished is a body of which a part is sent; its end doesn't come before ctx ends.
type unfinished struct {
	ctx  context.Context
	left int
}

// Read implements io.Reader.
func (u *unfinished) Read(p []byte) (int, error) {
	if u.left == 0 {
		_ = timer.Sleep(u.ctx, time.Hour)
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), u.left)
	clear(p[:n])
	u.left -= n
	return n, nil
}

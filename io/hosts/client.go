// Package hosts reads the platform's list of live and leaving hosts; docs/HOST-LIST-PROTOCOL.md describes it.
// The list may be out of date, so its readers don't rely on it.
package hosts

import (
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// ListPath is the path of the list.
const ListPath = "/hosts"

const callTimeout = time.Second

// Host is one entry of the list.
type Host struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	State      State  `json:"state"`
}

// State is the state of a host as the platform sees it.
type State string

// The states of the list.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Client reads the list over HTTP, one call at a time.
type Client struct {
	http fasthttp.HostClient
}

// New returns a client of the list at address; a nil dial means TCP.
func New(address string, dial func(address string) (net.Conn, error)) *Client {
	return &Client{
		http: fasthttp.HostClient{
			Addr:                     address,
			Dial:                     dial,
			MaxConns:                 1,
			NoDefaultUserAgentHeader: true,
		},
	}
}

// List returns the hosts that the platform knows. It fails after one second, on a status other than 200 or on malformed JSON.
func (c *Client) List() ([]Host, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + c.http.Addr + ListPath)
	if err := c.http.DoTimeout(request, response, callTimeout); err != nil {
		return nil, errors.Wrap(err, "read the list of hosts")
	}
	if code := response.StatusCode(); code != fasthttp.StatusOK {
		return nil, errors.Errorf("read the list of hosts: HTTP status %d", code)
	}
	var list []Host
	return list, errors.Wrap(json.Unmarshal(response.Body(), &list), "decode the list of hosts")
}

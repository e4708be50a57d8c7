package admin

import (
	"crypto/tls"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"magnoliaworks/core/shell"
)

// commandTimeout is the client's timeout of one command. It exceeds the longest timeout of a request, 60 s.
const commandTimeout = 70 * time.Second

// Client sends operators' commands to a host.
type Client struct {
	http fasthttp.HostClient
}

// NewClient returns a client of the operators' listener at address; a nil tlsConfig means plain HTTP.
func NewClient(address string, tlsConfig *tls.Config) *Client {
	return &Client{
		http: fasthttp.HostClient{
			Addr:                      address,
			IsTLS:                     tlsConfig != nil,
			TLSConfig:                 tlsConfig,
			MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize:       64 << 20,
		},
	}
}

// Run sends a command and returns its output. An error that the host reports is returned unchanged, with the output.
func (c *Client) Run(operator, command string) (shell.Output, error) {
	body, err := json.Marshal(CommandBody{
		Operator: operator,
		Command:  command,
	})
	if err != nil {
		return shell.Output{}, errors.Wrap(err, "encode command")
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(c.scheme() + c.http.Addr + CommandPath)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBody(body)
	if err := c.http.DoTimeout(request, response, commandTimeout); err != nil {
		return shell.Output{}, errors.Wrapf(err, "reach host at %s", c.http.Addr)
	}
	var result ResultBody
	if err := json.Unmarshal(response.Body(), &result); err != nil {
		return shell.Output{}, errors.Errorf("host at %s: HTTP status %d", c.http.Addr, response.StatusCode())
	}
	if result.Error != "" {
		return result.Output, errors.New(result.Error)
	}
	return result.Output, nil
}

func (c *Client) scheme() string {
	if c.http.IsTLS {
		return "https://"
	}
	return "http://"
}

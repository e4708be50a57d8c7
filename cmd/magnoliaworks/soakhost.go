package main

import (
	"magnoliaworks"
	"magnoliaworks/stand/soak"
)

// soakHostCommand runs a host of a soak, which reaches the other hosts through a proxy. Otherwise it does the same as serveCommand.
type soakHostCommand struct {
	Settings  string   `long:"settings" required:"true" value-name:"FILE" description:"settings file"`
	PeerProxy string   `long:"peer-proxy" required:"true" value-name:"ADDRESS" description:"proxy to the other hosts"`
	Proxied   []string `long:"proxied" value-name:"ADDRESS" description:"address that is reached through the proxy"`
}

// Execute implements flags.Commander.
func (c *soakHostCommand) Execute([]string) error {
	return serve(c.Settings, magnoliaworks.WithNetwork(soak.NewNetwork(c.PeerProxy, c.Proxied)))
}

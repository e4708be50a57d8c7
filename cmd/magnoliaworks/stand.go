package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"magnoliaworks/core/deploy"
	"magnoliaworks/io/hosts"
	"magnoliaworks/stand"
)

// standCommand runs the stand-ins of a deployment and writes settings files for hosts.
type standCommand struct {
	Deployment string `long:"deployment" default:"valparaiso" value-name:"NAME" description:"embedded deployment"`
	Directory  string `long:"directory" required:"true" value-name:"DIR" description:"directory for settings files"`
	Hosts      int    `long:"hosts" default:"8" description:"number of hosts, with a settings file each"`
	Seed       uint64 `long:"seed" default:"1" description:"seed of service times"`
}

// settingsFile is the content of a host's settings file.
type settingsFile struct {
	ID              string   `json:"id"`
	DataCentre      string   `json:"data_centre"`
	CallerAddress   string   `json:"caller_address"`
	OperatorAddress string   `json:"operator_address"`
	PeerAddress     string   `json:"peer_address"`
	StoreAddress    string   `json:"store_address"`
	HostsAddress    string   `json:"hosts_address"`
	Peers           []string `json:"peers"`
}

// Execute implements flags.Commander.
func (c *standCommand) Execute([]string) error {
	p, err := deploy.Embedded(c.Deployment)
	if err != nil {
		return usageError{err}
	}
	platform, err := stand.NewPlatform(p, stand.NewTCP(deploy.Delays{}), c.Seed)
	if err != nil {
		return err
	}
	defer platform.Stop()
	if err := c.writeSettings(platform); err != nil {
		return err
	}
	fmt.Printf("stand-ins of %s are running; store at %s; settings in %s\n", p.Name, platform.StoreAddress, c.Directory)
	ctx, stop := untilSignal()
	defer stop()
	<-ctx.Done()
	return nil
}

// writeSettings writes the settings files and sets the platform's list of hosts.
func (c *standCommand) writeSettings(platform *stand.Platform) error {
	files, err := c.newSettingsFiles(platform)
	if err != nil {
		return err
	}
	var list []hosts.Host
	for _, f := range files {
		list = append(list, hosts.Host{
			ID:         f.ID,
			Address:    f.PeerAddress,
			DataCentre: f.DataCentre,
			State:      hosts.Live,
		})
		data, err := json.MarshalIndent(f, "", "  ")
		if err != nil {
			return errors.Wrap(err, "encode settings")
		}
		if err := os.WriteFile(filepath.Join(c.Directory, f.ID+".jsonc"), append(data, '\n'), 0o644); err != nil {
			return errors.Wrap(err, "write settings")
		}
	}
	platform.SetHosts(list)
	return nil
}

// newSettingsFiles returns the settings of all hosts, spread over the data centres; the peer of each is the next one.
func (c *standCommand) newSettingsFiles(platform *stand.Platform) ([]settingsFile, error) {
	files := make([]settingsFile, c.Hosts)
	for i := range files {
		addresses, err := freeAddresses()
		if err != nil {
			return nil, err
		}
		files[i] = settingsFile{
			ID:              fmt.Sprintf("host-%d", i+1),
			DataCentre:      platform.Deployment.DataCentres[i%len(platform.Deployment.DataCentres)],
			CallerAddress:   addresses[0],
			OperatorAddress: addresses[1],
			PeerAddress:     addresses[2],
			StoreAddress:    platform.StoreAddress,
			HostsAddress:    platform.StoreAddress,
		}
	}
	for i := range files {
		files[i].Peers = []string{files[(i+1)%len(files)].PeerAddress}
	}
	return files, nil
}

// freeAddresses returns three free loopback addresses: for callers, operators and peers.
func freeAddresses() (addresses [3]string, err error) {
	for i := range addresses {
		if addresses[i], err = stand.FreeAddress(); err != nil {
			return addresses, err
		}
	}
	return addresses, nil
}

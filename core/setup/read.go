package setup

import (
	"net"
	"os"
	"path/filepath"
	"strings"

	"magnoliaworks/core/jsonc"
)

// Read reads and checks a settings file. Errors about its content are of type *jsonc.Error.
func Read(file string) (Settings, error) {
	s := Default()
	if err := jsonc.DecodeFile(file, &s); err != nil {
		return Settings{}, err
	}
	s = s.withPlatformDefaults()
	return s, checkAndReadPeers(file, &s)
}

// checkAndReadPeers validates what depends on more than one value or on other files, and adds the peers of the peers file.
func checkAndReadPeers(file string, s *Settings) error {
	if err := checkAddresses(file, s); err != nil {
		return err
	}
	if err := checkTLS(file, s); err != nil {
		return err
	}
	return readPeers(file, s)
}

// addressSetting is a setting that holds an address.
type addressSetting struct {
	key     string
	address string
	// listener is set when the host listens on the address, which must then differ from all earlier ones.
	listener bool
}

// checkAddresses requires each address to be present, of the form IP:port and, for listeners, not used before.
func checkAddresses(file string, s *Settings) error {
	addresses := []addressSetting{
		{key: "caller_address", address: s.CallerAddress, listener: true},
		{key: "operator_address", address: s.OperatorAddress, listener: true},
		{key: "peer_address", address: s.PeerAddress, listener: true},
	}
	if s.Platform.On() {
		addresses = append(addresses,
			addressSetting{key: "platform.caller_address", address: s.Platform.CallerAddress, listener: true},
			addressSetting{key: "platform.ready_address", address: s.Platform.ReadyAddress, listener: true},
			addressSetting{key: "platform.object_address", address: s.Platform.ObjectAddress},
		)
	} else {
		addresses = append(addresses,
			addressSetting{key: "store_address", address: s.StoreAddress},
			addressSetting{key: "hosts_address", address: s.HostsAddress},
		)
	}
	usedBy := make(map[string]string)
	for _, a := range addresses {
		if a.address == "" {
			return keyError(file, a.key, "key is missing")
		}
		if !validAddress(a.address) {
			return keyError(file, a.key, a.address+" is not an address of the form IP:port")
		}
		if first, taken := usedBy[a.address]; taken && a.listener {
			return keyError(file, a.key, a.address+" is already used by "+first)
		}
		usedBy[a.address] = a.key
	}
	return nil
}

func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host) != nil && port != "" && port != "0"
}

// checkTLS requires a listener that uses TLS to name three files that exist.
func checkTLS(file string, s *Settings) error {
	listeners := []struct {
		key string
		tls TLS
	}{
		{key: "operator_tls", tls: s.OperatorTLS},
		{key: "peer_tls", tls: s.PeerTLS},
	}
	for _, l := range listeners {
		if !l.tls.On() {
			continue
		}
		if l.tls.Certificate == "" || l.tls.Key == "" || l.tls.ClientCA == "" {
			return keyError(file, l.key, "certificate, key and client_ca are needed together")
		}
		for _, name := range []string{l.tls.Certificate, l.tls.Key, l.tls.ClientCA} {
			if _, err := os.Stat(name); err != nil {
				return keyError(file, l.key, "file "+name+" is not readable")
			}
		}
	}
	return nil
}

// readPeers appends the addresses in the peers file to the peers and checks all of them.
func readPeers(file string, s *Settings) error {
	if s.PeersFile != "" {
		name := s.PeersFile
		if !filepath.IsAbs(name) {
			name = filepath.Join(filepath.Dir(file), name)
		}
		data, err := os.ReadFile(name)
		if err != nil {
			return keyError(file, "peers_file", "file "+name+" is not readable")
		}
		s.Peers = append(s.Peers, strings.Fields(string(data))...)
	}
	for _, peer := range s.Peers {
		if !validAddress(peer) {
			return keyError(file, "peers", peer+" is not an address of the form IP:port")
		}
	}
	return nil
}

// keyError returns a *jsonc.Error at the position of a top-level key, or at the start of the file if the key is absent or nested.
func keyError(file, key, reason string) error {
	line, column := 1, 1
	if data, err := os.ReadFile(file); err == nil {
		line, column = jsonc.Locate(data, key)
	}
	return &jsonc.Error{
		File:   file,
		Line:   line,
		Column: column,
		Key:    key,
		Reason: reason,
	}
}

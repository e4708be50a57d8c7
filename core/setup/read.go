package setup

import (
	"net"
	"os"
	"path/filepath"
	"strings"

	"magnoliaworks/core/jsonc"
)

// Read reads and checks a settings file. Errors about its content are *jsonc.Error.
func Read(file string) (Settings, error) {
	s := Default()
	if err := jsonc.DecodeFile(file, &s); err != nil {
		return Settings{}, err
	}
	s = s.withPlatform()
	return s, check(file, &s)
}

// check tests what a single value does not show and reads the file of peers.
func check(file string, s *Settings) error {
	if err := checkListeners(file, s); err != nil {
		return err
	}
	if err := checkTLS(file, s); err != nil {
		return err
	}
	return readPeers(file, s)
}

// listed is an address of the settings.
type listed struct {
	key     string
	address string
	// listens is set when the host listens on the address, which then has one use only.
	listens bool
}

func checkListeners(file string, s *Settings) error {
	addresses := []listed{
		{key: "caller_address", address: s.CallerAddress, listens: true},
		{key: "operator_address", address: s.OperatorAddress, listens: true},
		{key: "peer_address", address: s.PeerAddress, listens: true},
	}
	if s.Platform.On() {
		addresses = append(addresses,
			listed{key: "platform.caller_address", address: s.Platform.CallerAddress, listens: true},
			listed{key: "platform.ready_address", address: s.Platform.ReadyAddress, listens: true},
			listed{key: "platform.object_address", address: s.Platform.ObjectAddress},
		)
	} else {
		addresses = append(addresses,
			listed{key: "store_address", address: s.StoreAddress},
			listed{key: "hosts_address", address: s.HostsAddress},
		)
	}
	owner := make(map[string]string)
	for _, a := range addresses {
		if a.address == "" {
			return keyError(file, a.key, "key is missing")
		}
		if !validAddress(a.address) {
			return keyError(file, a.key, a.address+" is not an address of the form IP:port")
		}
		if first, taken := owner[a.address]; taken && a.listens {
			return keyError(file, a.key, a.address+" is already used by "+first)
		}
		owner[a.address] = a.key
	}
	return nil
}

func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host) != nil && port != "" && port != "0"
}

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

// keyError places a mistake at the first line that has the key.
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

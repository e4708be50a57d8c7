// Scores prints, for each site in the bench's journal, the worth of each standard day in the last two full scores side by
// side, with the price that cost most in the newer one.
//
//	go run .ci/scores.go
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// entry is a journal entry, as far as it is printed.
type entry struct {
	Command string   `json:"cmd"`
	Argv    []string `json:"argv"`
	At      []string `json:"at"`
	Head    string   `json:"head"`
	Site    string   `json:"site"`
	Score   float64  `json:"score"`
	Days    []day    `json:"days"`
}

// day is one played day. A price is a list of its name, its amount and what it costs.
type day struct {
	Name   string  `json:"name"`
	Slot   string  `json:"slot"`
	Worth  float64 `json:"G"`
	Mark   float64 `json:"top"`
	Prices [][]any `json:"prices"`
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "scores:", err)
		os.Exit(1)
	}
}

func run() error {
	bySite, err := read()
	if err != nil {
		return err
	}
	var sites []string
	for site := range bySite {
		sites = append(sites, site)
	}
	slices.Sort(sites)
	for _, site := range sites {
		printLast(site, bySite[site])
	}
	return nil
}

// read returns the entries of full scores by site, oldest first.
func read() (map[string][]entry, error) {
	paths, err := filepath.Glob("journal/*.json")
	if err != nil {
		return nil, err
	}
	slices.Sort(paths)
	bySite := make(map[string][]entry)
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		var e entry
		if err := json.Unmarshal(data, &e); err != nil {
			continue // An entry of another verb may have another form.
		}
		if e.Command == "score" && !slices.Contains(e.Argv, "--quick") && !slices.Contains(e.Argv, "--small") {
			bySite[e.Site] = append(bySite[e.Site], e)
		}
	}
	return bySite, nil
}

// printLast prints the last entry of a site beside the one before.
func printLast(site string, entries []entry) {
	last := entries[len(entries)-1]
	before := entry{}
	if len(entries) > 1 {
		before = entries[len(entries)-2]
	}
	fmt.Printf("%s: score %.3f (%.8s) -> %.3f (%.8s)\n", site, before.Score, before.Head, last.Score, last.Head)
	for _, d := range last.Days {
		fmt.Printf("  %-12s %6.3f -> %6.3f  mark %5.3f  dearest: %s\n", d.Name, worthOf(before, d.Name), d.Worth, d.Mark, dearest(d))
	}
}

func worthOf(e entry, name string) float64 {
	for _, d := range e.Days {
		if d.Name == name {
			return d.Worth
		}
	}
	return 0
}

// dearest returns the price that cost most, other than that of the hosts in use.
func dearest(d day) string {
	name, most := "none", 0.0
	for _, p := range d.Prices {
		if len(p) != 3 || strings.HasPrefix(fmt.Sprint(p[0]), "machine") {
			continue
		}
		if cost, ok := p[2].(float64); ok && cost > most {
			name, most = fmt.Sprint(p[0]), cost
		}
	}
	return fmt.Sprintf("%s %.3f", name, most)
}

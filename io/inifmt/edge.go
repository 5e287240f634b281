package inifmt

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"
)

// Defaults of EdgeSettings.
const (
	DefaultGrace  = 8 * time.Second
	DefaultMemory = 256 // MB
)

// EdgeSettings are the settings of a daemon that forwards to targets of the users' platform.
type EdgeSettings struct {
	Name       string // in logs; required
	DataCentre string // required
	Front      string // IP:port for callers; required
	Ready      string // IP:port for readiness checks; required
	Directory  string // IP:port on which callers ask for addresses; required
	Peer       string // IP:port for other daemons; required

	// AdvertiseFront and AdvertisePeer are where callers and other daemons reach Front and Peer when something that forwards
	// connections stands between; empty means at Front and Peer themselves.
	AdvertiseFront, AdvertisePeer string

	Metrics  string // IP:port for metrics; empty means none
	Seeds    []string
	Store    string  // IP:port; required
	MemoryMB int     // of the process
	Cores    float64 // processor of the VM; 0 counts as unknown
	Grace    time.Duration
	Bounds   EdgeBounds
}

// EdgeBounds are the limits that all daemons keep together.
type EdgeBounds struct {
	RetryRatio    float64 // repeats for each request of a service
	RetrySlack    float64 // repeats of all daemons beyond the ratio
	RetryWindow   time.Duration
	ColdOver      float64 // a cold target gets at most its rate x ColdOver + ColdSlack in one second
	ColdSlack     float64
	DirectoryKeep time.Duration // longest time for which callers keep addresses
}

// LoadEdge reads a settings file; see ParseEdge for its errors.
func LoadEdge(path string) (EdgeSettings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return EdgeSettings{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseEdge(path, string(text))
}

// ParseEdge reads settings from the text of the named file; it returns an *InvalidError with all faults.
func ParseEdge(file, text string) (EdgeSettings, error) {
	document := parse(file, text)
	settings := document.table("Edge").edge()
	settings.Bounds = document.table("Bounds").edgeBounds()
	known := []string{"Edge", "Bounds"}
	for _, section := range document.names {
		if !slices.Contains(known, section) {
			document.faultAt(section, "", section, "one of the sections "+strings.Join(known, ", "))
		}
	}
	return settings, asError(document.problems)
}

func (table *table) edge() EdgeSettings {
	for _, key := range []string{"Name", "DataCentre", "Front", "Ready", "Directory", "Peer", "Store"} {
		table.require(key, "a value")
	}
	settings := EdgeSettings{
		Name:       table.text("Name", ""),
		DataCentre: table.text("DataCentre", ""),
		Front:      table.text("Front", ""),
		Ready:      table.text("Ready", ""),
		Directory:  table.text("Directory", ""),
		Peer:       table.text("Peer", ""),
		Metrics:    table.text("Metrics", ""),

		AdvertiseFront: table.text("AdvertiseFront", ""),
		AdvertisePeer:  table.text("AdvertisePeer", ""),

		Seeds:    table.list("Seeds"),
		Store:    table.text("Store", ""),
		MemoryMB: table.number("MemoryMB", DefaultMemory),
		Cores:    table.share("Cores", 0),
		Grace:    table.duration("Grace", DefaultGrace),
	}
	table.close(oneOf("Name", "DataCentre", "Front", "Ready", "Directory", "Peer", "AdvertiseFront", "AdvertisePeer",
		"Metrics", "Seeds", "Store", "MemoryMB", "Cores", "Grace"))
	return settings
}

func (table *table) edgeBounds() EdgeBounds {
	bounds := EdgeBounds{
		RetryRatio:    table.share("RetryRatio", 0.1),
		RetrySlack:    table.share("RetrySlack", 10),
		RetryWindow:   table.duration("RetryWindow", 10*time.Second),
		ColdOver:      table.share("ColdOver", 1),
		ColdSlack:     table.share("ColdSlack", 0),
		DirectoryKeep: table.duration("DirectoryKeep", 5*time.Second),
	}
	table.close(oneOf("RetryRatio", "RetrySlack", "RetryWindow", "ColdOver", "ColdSlack", "DirectoryKeep"))
	return bounds
}

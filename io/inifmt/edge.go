package inifmt

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"
)

// Defaults and limits of EdgeSettings.
const (
	DefaultGrace    = 8 * time.Second
	DefaultMemoryMB = 256
	MaxHedgeShare   = 0.2 // limit on EdgeBounds.HedgeShare
)

// EdgeSettings are the settings of the edge command, a daemon that forwards requests to targets on the users' platform.
type EdgeSettings struct {
	Name       string // in logs; required
	DataCentre string // required
	Front      string // IP:port for callers; required
	Ready      string // IP:port for readiness checks; required
	Directory  string // IP:port where callers look up daemon addresses; required
	Peer       string // IP:port for other daemons; required

	// AdvertiseFront and AdvertisePeer are the addresses at which callers and other daemons reach Front and Peer through a
	// proxy or port forwarding; empty means that Front and Peer are reached directly.
	AdvertiseFront, AdvertisePeer string

	Metrics     string // IP:port for metrics; empty means none
	Seeds       []string
	Store       string  // IP:port; required
	MemoryMB    int     // memory available to the process
	Descriptors int     // limit on the descriptors of the process; 0 means that of the operating system
	Cores       float64 // CPU cores of the VM; 0 means unknown
	Grace       time.Duration
	Bounds      EdgeBounds
}

// EdgeBounds are fleet-wide limits, which all daemons observe together.
type EdgeBounds struct {
	RetryRatio    float64 // retries allowed per request of a service
	RetrySlack    float64 // retries of all daemons allowed beyond the ratio
	RetryWindow   time.Duration
	ColdOver      float64 // a cold target receives at most rate x ColdOver + ColdSlack requests per second
	ColdSlack     float64
	HedgeShare    float64       // second tries for slow answers allowed per request that may be repeated; 0 means none
	DirectoryKeep time.Duration // maximum time for which callers cache addresses
	ExposeShare   float64       // share of a service's requests, from an order of a rollout to its time limit, that a bad version may receive
	ExposeSlack   float64       // requests that a bad version may receive beyond the share
	Rollback      time.Duration // time after the 50th bad response of a version within which the last request is sent to it
}

// LoadEdge reads a settings file; it returns the errors of ParseEdge, or an error when the file is unreadable.
func LoadEdge(path string) (EdgeSettings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return EdgeSettings{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseEdge(path, string(text))
}

// ParseEdge parses settings from text, naming file in its errors; it returns an *InvalidError with all problems.
func ParseEdge(file, text string) (EdgeSettings, error) {
	document := parse(file, text)
	settings := document.table("Edge").edge()
	settings.Bounds = document.table("Bounds").edgeBounds()
	known := []string{"Edge", "Bounds"}
	for _, section := range document.names {
		if !slices.Contains(known, section) {
			document.addProblemAt(section, "", section, "one of the sections "+strings.Join(known, ", "))
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

		Seeds:       table.list("Seeds"),
		Store:       table.text("Store", ""),
		MemoryMB:    table.number("MemoryMB", DefaultMemoryMB),
		Descriptors: table.number("Descriptors", 0),
		Cores:       table.float("Cores", 0),
		Grace:       table.duration("Grace", DefaultGrace),
	}
	table.close(oneOf("Name", "DataCentre", "Front", "Ready", "Directory", "Peer", "AdvertiseFront", "AdvertisePeer",
		"Metrics", "Seeds", "Store", "MemoryMB", "Descriptors", "Cores", "Grace"))
	return settings
}

func (table *table) edgeBounds() EdgeBounds {
	bounds := EdgeBounds{
		RetryRatio:    table.float("RetryRatio", 0.1),
		RetrySlack:    table.float("RetrySlack", 10),
		RetryWindow:   table.duration("RetryWindow", 10*time.Second),
		ColdOver:      table.float("ColdOver", 1),
		ColdSlack:     table.float("ColdSlack", 0),
		HedgeShare:    table.float("HedgeShare", 0),
		DirectoryKeep: table.duration("DirectoryKeep", 5*time.Second),
		ExposeShare:   table.float("ExposeShare", 0.1),
		ExposeSlack:   table.float("ExposeSlack", 50),
		Rollback:      table.duration("Rollback", 5*time.Second),
	}
	table.close(oneOf("RetryRatio", "RetrySlack", "RetryWindow", "ColdOver", "ColdSlack", "HedgeShare", "DirectoryKeep", "ExposeShare", "ExposeSlack", "Rollback"))
	if bounds.HedgeShare < 0 || !(bounds.HedgeShare <= MaxHedgeShare) {
		table.addProblem("HedgeShare", table.text("HedgeShare", ""), "a number from 0 to 0.2")
	}
	return bounds
}

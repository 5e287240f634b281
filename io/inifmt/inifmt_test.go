package inifmt

import (
	"errors"
	"flag"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"catkincove/core"
	"catkincove/core/config"
)

// init fixes the seed of the property tests, so that every run gives the same result.
func init() { _ = flag.Set("rapid.seed", "20261204") }

var (
	names = rapid.StringMatching(`[a-zA-Z0-9][a-zA-Z0-9._-]{0,9}`)
	texts = rapid.OneOf(rapid.String(), rapid.StringMatching("[\"'`#;=\\\\\\[ %(a)s]{0,12}"))
)

func drawDuration(t *rapid.T, minimum time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(int64(minimum), int64(time.Second)).Draw(t, "duration"))
}

func drawPlacement(t *rapid.T) config.Placement {
	return rapid.SampledFrom([]config.Placement{config.In, config.Out}).Draw(t, "placement")
}

func drawPipeline(t *rapid.T) config.Object {
	pipeline := config.Pipeline{Name: names.Draw(t, "name"), Deadline: drawDuration(t, time.Millisecond)}
	for _, name := range rapid.SliceOfNDistinct(names, 1, 4, rapid.ID[string]).Draw(t, "stages") {
		pipeline.Stages = append(pipeline.Stages, config.Stage{
			Name: name, Service: names.Draw(t, "service"), Top: rapid.IntRange(0, 9).Draw(t, "top"),
			MaxTokens: rapid.IntRange(0, 9).Draw(t, "tokens"), Path: rapid.StringMatching("(/[a-z\"']{0,5})?").Draw(t, "path"),
		})
	}
	return config.NewPipeline(pipeline)
}

// drawObject returns an object that passes the checks on a single object and has arbitrary values in all fields.
func drawObject(t *rapid.T) config.Object {
	name, other := names.Draw(t, "name"), names.Draw(t, "other")
	small, enabled := rapid.IntRange(1, 9).Draw(t, "small"), rapid.Bool().Draw(t, "flagged")
	ratio := rapid.Float64Range(0.001, 0.999).Draw(t, "share")
	model := rapid.StringMatching("[\"'`#; a-z]{1,9}").Draw(t, "model")
	objects := []config.Object{
		config.NewTeam(config.Team{Name: core.TeamName(name), Weight: small, TokenSHA256: strings.Repeat("0a", 32)}),
		config.NewDataCentre(config.DataCentre{Name: name, Region: other, State: drawPlacement(t)}),
		config.NewService(config.Service{
			Name: name, Kind: config.ServiceKind(small % 5), Model: model, Version: model, WeightBytes: int64(small), Capacity: 9, ColdLimit: small, WarmAfter: small,
			LeastTime: drawDuration(t, 0), MayRepeat: enabled, ChecksFencing: !enabled,
		}),
		config.NewTarget(config.Target{
			Name: core.TargetName(name), Service: other, DataCentre: other, Address: "[::1]:80", State: drawPlacement(t),
		}),
		drawPipeline(t),
		config.NewServiceLevel(config.ServiceLevel{Pipeline: name, Objective: ratio, Period: time.Minute + drawDuration(t, 0)}),
		config.NewLimits(config.Limits{
			RetriesPerRequest: small, RetryRatio: ratio, QueueLength: small, BodyBytes: 1024 + small, WeightRate: int64(small),
			SameRegionDelay: drawDuration(t, 0), OtherRegionDelay: drawDuration(t, 0),
		}),
		config.NewTombstone(config.Ref{Kind: config.KindTeam, Name: name}),
	}
	return rapid.SampledFrom(objects).Draw(t, "object")
}

// TestTicketRoundTrip guards against formatted tickets that cannot be parsed or parse to different content.
func TestTicketRoundTrip(t *testing.T) {
	refOf := func(object config.Object) config.Ref { return object.Ref }
	rapid.Check(t, func(t *rapid.T) {
		ticket := config.Ticket{
			Number:   rapid.Int64Range(1, 1<<62).Draw(t, "number"),
			Operator: "o" + texts.Draw(t, "operator"),
			Note:     texts.Draw(t, "note"),
			Objects:  rapid.SliceOfNDistinct(rapid.Custom(drawObject), 1, 6, refOf).Draw(t, "objects"),
		}
		text := FormatTicket(ticket)
		parsed, err := ParseTicket("ticket.ini", text)
		if err != nil || !reflect.DeepEqual(parsed, ticket) || parsed.Hash() != ticket.Hash() {
			t.Fatalf("got %+v, expected %+v, from\n%s\n%v", parsed, ticket, text, err)
		}
	})
}

// TestArbitraryText guards against a panic on malformed text, and against an accepted ticket whose formatted text parses
// to a different ticket.
func TestArbitraryText(t *testing.T) {
	lines := []string{"[Ticket]", "Number = 1", "Operator = o", "[Team a]", "Weight = 2", "[", "]", "[]", "=", "x", "Note = \"a", "`", "[Team a.b]", "\xff", "\\"}
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(rapid.SampledFrom(lines), 0, 8).Draw(t, "lines"), "\n")
		ticket, err := ParseTicket("ticket.ini", text)
		if _, errSettings := ParseSettings("settings.ini", text); errSettings == nil {
			t.Fatal("text without settings was accepted")
		}
		if err != nil {
			return
		}
		reparsed, err := ParseTicket("ticket.ini", FormatTicket(ticket))
		if err != nil || reparsed.Hash() != ticket.Hash() {
			t.Fatalf("%q parsed as %+v, after formatting as %+v: %v", text, ticket, reparsed, err)
		}
	})
}

const ticketHeader = "[Ticket]\nNumber = 7\nOperator = o\n" // three lines

// TestTicketProblems guards against problems of a ticket that are ignored or reported for the wrong line, section or key.
func TestTicketProblems(t *testing.T) {
	tests := []struct{ name, text, problem string }{
		{"unknown section", ticketHeader + "[Teams a]\nWeight = 1", `t.ini:4: [Teams a]: found "Teams a", expected [Ticket]`},
		{"unknown key", ticketHeader + "[Team a]\nWeigth = 1", `t.ini:5: [Team a] Weigth: found "1", expected one of the keys Weight`},
		{"inherited key", ticketHeader + "[Team a]\nWeight = 1\n[Team a.b]\nFoo = 1", `t.ini:7: [Team a.b] Foo`},
		{"section twice", ticketHeader + "[Team a]\n[Team b]\n[Team a]", `t.ini:6: [Team a]: found "[Team a]", expected each section once; the first is in line 4`},
		{"key twice", ticketHeader + "[Team a]\nWeight = 1\nWeight = 1", `t.ini:6: [Team a] Weight: found "1", expected each key once; the first is in line 5`},
		{"key before sections", "Number = 1\n" + ticketHeader, `t.ini:1: found "Number = 1", expected a section header`},
		{"no delimiter", ticketHeader + "[Team a]\nWeight: 1", `t.ini:5: [Team a]: found "Weight: 1", expected a line such as Key = value`},
		{"open section", ticketHeader + "[Team a\nWeight = 1", `t.ini:4: found "[Team a", expected a section header`},
		{"value on lines", ticketHeader + "Note = \"\"\"a\nb\"\"\"\n[Team a]", `t.ini:4: [Ticket] Note: found "\"\"\"a", expected a value on one line`},
		{"open quote", ticketHeader + "Note = \"a\n[Team a]", `t.ini:4: [Ticket] Note: found "\"a", expected a text in quotation marks`},
		{"empty value", ticketHeader + "[Team a]\nWeight =", `t.ini:5: [Team a] Weight: found nothing, expected a value`},
		{"inline comment", ticketHeader + "[Team a]\nWeight = 1 # one", `t.ini:5: [Team a] Weight: found "1 # one", expected a whole number`},
		{"no number", "[Ticket]\nOperator = o\n[Team a]", `t.ini:1: [Ticket] Number: found nothing, expected a number from 1`},
		{"no ticket", "[Team a]\nWeight = 1", `t.ini: [Ticket] Number: found nothing`},
		{"no objects", ticketHeader, `t.ini:1: [Ticket] Objects: found nothing, expected at least one object`},
		{"range", ticketHeader + "[Team a]\nWeight = -1", `t.ini:5: [Team a] Weight: found "-1", expected a number from 0 to 1000`},
		{"no unit", ticketHeader + "[Pipeline p]\nDeadline = 5\nStages = s\n[Stage p/s]\nService = x", `t.ini:5: [Pipeline p] Deadline: found "5", expected a duration with a unit`},
		{"zero without unit", ticketHeader + "[Service s]\nKind = Call\nLeastTime = 0", `t.ini:6: [Service s] LeastTime: found "0"`},
		{"boolean", ticketHeader + "[Service s]\nKind = Call\nMayRepeat = yes", `t.ini:6: [Service s] MayRepeat: found "yes", expected true or false`},
		{"kind", ticketHeader + "[Service s]\nKind = Draw", `t.ini:5: [Service s] Kind: found "Draw", expected one of Encode`},
		{"state", ticketHeader + "[DataCentre d]\nRegion = r\nState = in", `t.ini:6: [DataCentre d] State: found "in", expected In or Out`},
		{"no region", ticketHeader + "[DataCentre d]", `t.ini:4: [DataCentre d] Region: found nothing`},
		{"address", ticketHeader + "[Target t]\nService = s\nDataCentre = d\nAddress = h:1", `t.ini:7: [Target t] Address: found "h:1", expected IP:port`},
		{"no service", ticketHeader + "[Target t]\nDataCentre = d\nAddress = 10.0.0.1:1", `t.ini:4: [Target t] Service: found nothing`},
		{"no stage section", ticketHeader + "[Pipeline p]\nDeadline = 5s\nStages = s", `t.ini:6: [Pipeline p] Stages: found "s", expected a stage that has a section [Stage p/s]`},
		{"unlisted stage", ticketHeader + "[Stage p/s]\nService = x", `t.ini:4: [Stage p/s]: found "Stage p/s", expected a stage that`},
		{"empty stage", ticketHeader + "[Pipeline p]\nDeadline = 5s\nStages = ,", `t.ini:6: [Pipeline p] Stages: found ",", expected a list`},
		{"stage range", ticketHeader + "[Pipeline p]\nDeadline = 5s\nStages = s\n[Stage p/s]\nService = x\nTop = 9999", `t.ini:9: [Stage p/s] Top: found "9999", expected a number from 0 to 1000`},
		{"delete and more", ticketHeader + "[Team a]\nDelete = true\nWeight = 1", `t.ini:6: [Team a] Weight: found "1", expected no other key`},
		{"limits name", ticketHeader + "[Limits Other]", `t.ini:4: [Limits Other]: found "Limits Other"`},
		{"object name", ticketHeader + "[Team a/b]", `t.ini:4: [Team a/b] Name: found "a/b", expected 1 to 64 letters`},
	}
	for _, test := range tests {
		_, err := ParseTicket("t.ini", test.text)
		if err == nil || !strings.Contains(err.Error(), test.problem) {
			t.Errorf("%s: expected %s, got:\n%v", test.name, test.problem, err)
		}
	}
}

// TestAllProblemsAtOnce guards against a parser that stops at the first problem, so that operators find them one by one.
func TestAllProblemsAtOnce(t *testing.T) {
	_, err := ParseTicket("t.ini", "[Ticket]\nNumber = x\noops\n[Team a]\nWeight = y\nColour = z\n[Thing]")
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("got %v, expected an InvalidError", err)
	}
	var lines []int
	for _, problem := range invalid.Problems {
		lines = append(lines, problem.Line)
	}
	if expected := []int{1, 2, 3, 5, 6, 7}; !reflect.DeepEqual(lines, expected) {
		t.Errorf("problems in lines %v, expected %v:\n%v", lines, expected, err)
	}
}

// TestNoInheritance guards against section [Team a.b] inheriting values of section [Team a], as ini.v1 does by default.
func TestNoInheritance(t *testing.T) {
	ticket, err := ParseTicket("t.ini", ticketHeader+"[Team a]\nWeight = 5\n[Team a.b]\nTokenSHA256 = "+strings.Repeat("0a", 32))
	if err != nil || ticket.Objects[1].Team.Weight != 0 {
		t.Fatalf("got %+v: %v", ticket, err)
	}
}

const minimalSettings = "[Daemon]\nDataCentre = dc\n[Store]\nEndpoints = http://10.0.0.1:2379\n"

// TestSettingsDefaults guards against defaults that differ from the documented ones, and against ignored keys.
func TestSettingsDefaults(t *testing.T) {
	expected := Settings{
		Daemon: DaemonSettings{
			Name: "catkincove", Listen: "127.0.0.1:7070", Advertise: "127.0.0.1:7070", DataCentre: "dc",
			KeepFor: 30 * time.Second, LogLevel: "info", LogFormat: "json",
		},
		Store: StoreSettings{Endpoints: []string{"http://10.0.0.1:2379"}, Timeout: time.Second},
	}
	if settings, err := ParseSettings("s.ini", minimalSettings); err != nil || !reflect.DeepEqual(settings, expected) {
		t.Errorf("got %+v, expected %+v: %v", settings, expected, err)
	}
	full := "[Daemon]\nName = n\nListen = 0.0.0.0:1\nAdvertise = 10.0.0.2:1\nDataCentre = dc\nKeepFor = 5s\nLogLevel = debug\n" +
		"LogFormat = console\n[Store]\nEndpoints = http://10.0.0.1:2379, http://10.0.0.3:2379\nTimeout = 2s\n" +
		"[VMList]\nURL = http://10.0.0.4/vms\n[Peers]\nSeeds = 10.0.0.5:1, 10.0.0.6:1\n"
	expected = Settings{
		Daemon: DaemonSettings{
			Name: "n", Listen: "0.0.0.0:1", Advertise: "10.0.0.2:1", DataCentre: "dc",
			KeepFor: 5 * time.Second, LogLevel: "debug", LogFormat: "console",
		},
		Store:  StoreSettings{Endpoints: []string{"http://10.0.0.1:2379", "http://10.0.0.3:2379"}, Timeout: 2 * time.Second},
		VMList: VMListSettings{URL: "http://10.0.0.4/vms"},
		Peers:  PeersSettings{Seeds: []string{"10.0.0.5:1", "10.0.0.6:1"}},
	}
	if settings, err := ParseSettings("s.ini", full); err != nil || !reflect.DeepEqual(settings, expected) {
		t.Errorf("got %+v, expected %+v: %v", settings, expected, err)
	}
}

// TestSettingsProblems guards against mistakes in settings that are ignored, so that a daemon starts with other values
// than the operator intended.
func TestSettingsProblems(t *testing.T) {
	tests := []struct{ name, text, problem string }{
		{"no data centre", "[Store]\nEndpoints = http://10.0.0.1:2379", `s.ini: [Daemon] DataCentre: found nothing`},
		{"no endpoints", "[Daemon]\nDataCentre = dc", `s.ini: [Store] Endpoints: found nothing`},
		{"endpoint", "[Store]\nEndpoints = 10.0.0.1:2379", `s.ini:2: [Store] Endpoints: found "10.0.0.1:2379", expected an http URL`},
		{"endpoint with path", "[Store]\nEndpoints = http://10.0.0.1:2379/x", `s.ini:2: [Store] Endpoints`},
		{"endpoint twice", "[Store]\nEndpoints = http://a, http://a", `s.ini:2: [Store] Endpoints`},
		{"unit", minimalSettings + "Timeout = 5", `s.ini:5: [Store] Timeout: found "5", expected a duration with a unit`},
		{"range", minimalSettings + "Timeout = 5m", `s.ini:5: [Store] Timeout: found "5m0s", expected a duration from 10ms to 10s`},
		{"listen", "[Daemon]\nListen = localhost:80", `s.ini:2: [Daemon] Listen: found "localhost:80", expected IP:port`},
		{"advertise", "[Daemon]\nListen = 0.0.0.0:80", `s.ini:1: [Daemon] Advertise: found nothing, expected IP:port, because Listen is 0.0.0.0:80`},
		{"advertised port", "[Daemon]\nAdvertise = 10.0.0.1:0", `s.ini:2: [Daemon] Advertise: found "10.0.0.1:0"`},
		{"level", "[Daemon]\nLogLevel = Info", `s.ini:2: [Daemon] LogLevel: found "Info", expected one of debug`},
		{"format", "[Daemon]\nLogFormat = text", `s.ini:2: [Daemon] LogFormat: found "text", expected one of json, console`},
		{"list URL", "[VMList]\nURL = https://x", `s.ini:2: [VMList] URL: found "https://x", expected an http URL`},
		{"seed", "[Peers]\nSeeds = a:1", `s.ini:2: [Peers] Seeds: found "a:1", expected IP:port`},
		{"unknown section", "[Log]\nLevel = x", `s.ini:1: [Log]: found "Log", expected one of the sections Daemon`},
		{"unknown key", "[Peers]\nSeed = a", `s.ini:2: [Peers] Seed: found "a", expected one of the keys Seeds`},
	}
	for _, test := range tests {
		_, err := ParseSettings("s.ini", test.text)
		if err == nil || !strings.Contains(err.Error(), test.problem) {
			t.Errorf("%s: expected %s, got:\n%v", test.name, test.problem, err)
		}
	}
}

// TestHedgeShare guards against a share of second tries that a typing error makes large, and against one that is on by default.
func TestHedgeShare(t *testing.T) {
	const edge = "[Edge]\nName = a\nDataCentre = d\nFront = 127.0.0.1:1\nReady = 127.0.0.1:2\nDirectory = 127.0.0.1:3\nPeer = 127.0.0.1:4\nStore = 127.0.0.1:5\n"
	for text, want := range map[string]float64{"": 0, "[Bounds]\nHedgeShare = 0.05\n": 0.05, "[Bounds]\nHedgeShare = 0.2\n": 0.2} {
		if settings, err := ParseEdge("f", edge+text); err != nil || settings.Bounds.HedgeShare != want {
			t.Errorf("%q: %v, %v", text, settings.Bounds.HedgeShare, err)
		}
	}
	for _, value := range []string{"5", "-0.01", "0.21", "NaN", "five"} {
		if _, err := ParseEdge("f", edge+"[Bounds]\nHedgeShare = "+value+"\n"); err == nil {
			t.Errorf("a share of %s is accepted", value)
		}
	}
}

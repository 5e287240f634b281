package tool

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"catkincove/core"
	"catkincove/core/audit"
	"catkincove/io/intake"
)

// storeTimeout limits reading the configuration in force from the store.
const storeTimeout = 5 * time.Second

// errFindings makes the program end with exitFindings.
var errFindings = errors.New("the configuration has findings")

// reviewReport is what check prints of one routing.
type reviewReport struct {
	File     string
	Version  int64
	Findings []reviewFinding
	Compared bool  // with the routing in force
	InForce  int64 // version of that; 0 if there is none yet
	Changes  []string
}

type reviewFinding struct {
	Line           int // 0 if it is not known
	Severity, Name string
	Entry, Text    string
}

// isRouting reports whether the text of a file is a routing, which is an object in JSON; settings and tickets are not.
func isRouting(data []byte) bool { return bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) }

// reviewRouting checks a routing, and compares it with the one in force if the command names one.
func reviewRouting(ctx context.Context, command *cli.Command, parts Parts, file string, data []byte) error {
	if parts.Format == nil {
		return fmt.Errorf("%s: this program reads no routing", file)
	}
	options, err := decodeRouting(parts.Format, file, data)
	if err != nil {
		return err
	}
	report := reviewReport{File: file, Version: options.Version, Findings: []reviewFinding{}}
	findings := audit.Review(options, audit.Limits{HeaderBytes: intake.DefaultHeadBytes})
	inForce, known, err := routingInForce(ctx, command, parts)
	if err != nil {
		return err
	}
	if known {
		changes, further := audit.Compare(inForce, options)
		report.Compared, report.InForce, report.Changes = true, inForce.Version, changes
		findings = append(findings, further...)
	}
	lines := jsonLines(data)
	for _, finding := range findings {
		place := parts.Format.Place(finding.Entry)
		report.Findings = append(report.Findings, reviewFinding{lines[place], finding.Severity.String(), finding.Name, place, finding.Text})
	}
	if wantsJSON(command) {
		err = printJSON(command, report)
	} else {
		printReview(command, report)
	}
	if err == nil && len(report.Findings) > 0 {
		return errFindings
	}
	return err
}

func printReview(command *cli.Command, report reviewReport) {
	for _, finding := range report.Findings {
		printf(command, "%s:%d: %s: %s (%s): %s\n", report.File, finding.Line, finding.Severity, finding.Entry, finding.Name, finding.Text)
	}
	if len(report.Findings) == 0 {
		printf(command, "%s: ok, version %d\n", report.File, report.Version)
	}
	if !report.Compared {
		return
	}
	printf(command, "%d changes from version %d to %d\n", len(report.Changes), report.InForce, report.Version)
	for _, change := range report.Changes {
		printf(command, "  %s\n", change)
	}
}

// decodeRouting decodes a routing; its errors name the file and the line.
func decodeRouting(format core.RoutingFormat, file string, data []byte) (core.RoutingOptions, error) {
	options, err := format.DecodeRoutingOptions(data)
	if err == nil {
		return options, nil
	}
	line := 0
	var located core.Located
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &located):
		lines := jsonLines(data)
		for place := located.Place(); line == 0 && place != ""; place = parentOf(place) { // a field that is missing has no line
			line = lines[place]
		}
	case errors.As(err, &syntax):
		line = lineAt(data, syntax.Offset)
	}
	return options, fmt.Errorf("%s:%d: %w", file, line, err)
}

// routingInForce reads the routing that the command names with --against or --store, and reports whether it names one.
func routingInForce(ctx context.Context, command *cli.Command, parts Parts) (core.RoutingOptions, bool, error) {
	file, address := command.String("against"), command.String("store")
	switch {
	case file != "" && address != "":
		return core.RoutingOptions{}, false, errors.New("--against and --store exclude each other")
	case file != "":
		data, err := os.ReadFile(file)
		if err != nil {
			return core.RoutingOptions{}, false, fmt.Errorf("read file: %w", err)
		}
		options, err := decodeRouting(parts.Format, file, data)
		return options, true, err
	case address != "":
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		snapshot, err := parts.Store(address, core.SystemClock{}).Get(ctx, parts.Format.RoutingKey())
		if err != nil {
			return core.RoutingOptions{}, false, fmt.Errorf("read the routing from the store at %s: %w", address, err)
		}
		if len(snapshot.Entries) == 0 {
			return core.RoutingOptions{}, true, nil // nothing is in force yet
		}
		options, err := decodeRouting(parts.Format, parts.Format.RoutingKey(), snapshot.Entries[0].Value)
		return options, true, err
	}
	return core.RoutingOptions{}, false, nil
}

// jsonLines returns the line on which each member of a JSON text begins, by its place, such as routes[2].name.
func jsonLines(data []byte) map[string]int {
	lines := map[string]int{}
	walkJSON(json.NewDecoder(bytes.NewReader(data)), "", func(place string, offset int64) { lines[place] = lineAt(data, offset) })
	return lines
}

// walkJSON calls visit with the place and the offset of each member of the next value; it stops at an error.
func walkJSON(decoder *json.Decoder, place string, visit func(place string, offset int64)) bool {
	token, err := decoder.Token()
	if err != nil {
		return false
	}
	visit(place, decoder.InputOffset())
	switch token {
	case json.Delim('{'):
		for decoder.More() {
			key, err := decoder.Token()
			if err != nil {
				return false
			}
			member := fmt.Sprint(key)
			if place != "" {
				member = place + "." + member
			}
			if !walkJSON(decoder, member, visit) {
				return false
			}
		}
		_, err = decoder.Token()
	case json.Delim('['):
		for i := 0; decoder.More(); i++ {
			if !walkJSON(decoder, place+"["+strconv.Itoa(i)+"]", visit) {
				return false
			}
		}
		_, err = decoder.Token()
	}
	return err == nil || err == io.EOF
}

// lineAt returns the line of an offset.
func lineAt(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(offset, int64(len(data)))], []byte("\n"))
}

// parentOf returns the place without its last member or index; empty for a member of the message.
func parentOf(place string) string {
	for i := len(place) - 1; i > 0; i-- {
		if place[i] == '.' || place[i] == '[' {
			return place[:i]
		}
	}
	return ""
}

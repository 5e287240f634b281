package tool

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestCheckEdge guards against settings of edge that are checked as settings of serve, and against problems that are
// reported without the file and line.
func TestCheckEdge(t *testing.T) {
	const complete = "[Edge]\nName = d1\nDataCentre = a\nFront = 10.0.0.1:1\nReady = 10.0.0.1:2\nDirectory = 10.0.0.1:3\nPeer = 10.0.0.1:4\nStore = 10.0.0.9:1\n"
	for _, test := range []struct {
		name, text string
		code       int
		contains   string
	}{
		{"whole", complete + "[Bounds]\nRetrySlack = 50\n", 0, "ok"},
		{"missing key", strings.Replace(complete, "Store = 10.0.0.9:1\n", "", 1), 64, "Store"},
		{"unknown key", complete + "Colour = red\n", 64, "Colour"},
		{"unknown section", complete + "[Odd]\nA = 1\n", 64, "Odd"},
		{"not a duration", complete + "Grace = soon\n", 64, "[Edge] Grace"},
	} {
		t.Run(test.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "edge.ini")
			if err := os.WriteFile(file, []byte(test.text), 0o600); err != nil {
				t.Fatal(err)
			}
			var out, errs bytes.Buffer
			code := Main(context.Background(), Parts{}, []string{"catkincove", "check", file}, &out, &errs)
			output := out.String() + errs.String()
			if code != test.code || !strings.Contains(output, test.contains) || test.code != 0 && !strings.Contains(output, "edge.ini:") {
				t.Errorf("exit code %d, %q", code, output)
			}
		})
	}
}

// TestExplain guards against an explain command that does not print the lines of a request, and against an unknown ID
// that is reported like a request without events.
func TestExplain(t *testing.T) {
	file := filepath.Join(t.TempDir(), "d1.log")
	line := `{"Daemon":"d1","Event":"RequestEnded","Request":"a1","Outcome":"Served","Took":5,"time":"2026-12-04T08:00:01.5Z"}` + "\n"
	if err := os.WriteFile(file, []byte(line), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name      string
		arguments []string
		code      int
		contains  string
	}{
		{"text", []string{"explain", "a1", file}, 0, "RequestEnded"},
		{"json", []string{"explain", "--output", "json", "a1", file}, 0, `"Unreadable":0`},
		{"unknown", []string{"explain", "a2", file}, 66, "no line names the request"},
		{"no id", []string{"explain"}, 64, "missing"},
		{"losses", []string{"losses", file}, 0, "1 ended"},
		{"losses as json", []string{"losses", "--output", "json", file}, 0, `"Ended":1`},
		{"losses of no file", []string{"losses", file + "x"}, 64, "no such file"},
		{"no file", []string{"explain", "a1", file + "x"}, 64, "no such file"},
	} {
		var out, errs bytes.Buffer
		code := Main(context.Background(), Parts{}, append([]string{"catkincove"}, test.arguments...), &out, &errs)
		if output := out.String() + errs.String(); code != test.code || !strings.Contains(output, test.contains) {
			t.Errorf("%s: exit code %d, %q", test.name, code, output)
		}
	}
}

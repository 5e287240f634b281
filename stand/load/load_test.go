package load

import (
	"fmt"
	"math"
	"testing"
	"time"

	"catkincove/core"
	"catkincove/stand/engine"
	"catkincove/stand/text"
)

func close3(a, b float64) bool { return math.Abs(a-b) < 0.001 }

// TestArithmetic guards against figures that flatter: late, wrong and refused requests that count as attained, repeated
// calls that count as needed, and work for refused requests that counts as useful.
func TestArithmetic(t *testing.T) {
	mix := Mixes[0]
	quote, part := mix.Kinds[0], mix.Kinds[2]
	ended := func(kind Kind, small bool, took time.Duration, right bool, err *core.Error) outcome {
		return outcome{arrival: Arrival{Kind: kind, Small: small}, took: took, right: right, err: err, tokens: kind.Tokens, first: took / 2, last: took}
	}
	outcomes := []outcome{
		ended(quote, false, time.Second, true, nil),
		ended(part, true, 300*time.Millisecond, true, nil),
		ended(part, true, part.Deadline+200*time.Millisecond, true, nil),
		ended(part, false, 300*time.Millisecond, false, nil),
		ended(quote, false, 40*time.Millisecond, false, core.Errorf(core.Overloaded, "full").WithStage("r", generate)),
	}
	report := Report{}
	report.judge(mix, outcomes, 2*time.Second)
	report.produce(mix, outcomes, 0, 500*time.Millisecond)
	uses := map[string]use{
		"encode": {calls: 3, distinct: 2}, "stock": {calls: 3, distinct: 3},
		generate: {calls: 5, distinct: 5, tokens: 2 * (quote.Tokens + part.Tokens)},
	}
	report.charge(mix, uses, outcomes)
	least := mix.least(quote) + mix.least(part)
	used := 6*quickTime.Seconds() + 2*float64(quote.Tokens+part.Tokens)*mix.TokenTime.Seconds()
	checks := []struct {
		name      string
		got, want float64
	}{
		{"attainment", report.Attainment, 0.4}, {"rate", report.Rate, 2.5}, {"small teams", report.Groups["small"], 0.5},
		{"goodput", report.Goodput, 2}, {"work", report.Work, 2 * mix.least(part)}, {"wrong", float64(report.Wrong), 1},
		{"amplification", report.Amplification, 1.1}, {"cost", report.CostRatio, used / least},
		{"refusals", float64(report.Refusals[0].Count), 1}, {"P99 of refusals", math.Round(report.Refusals[0].P99Ms), 40},
		{"first token", report.FirstToken, 0.75}, {"token gap", report.TokenGap, 0.75},
	}
	for _, check := range checks {
		if !close3(check.got, check.want) {
			t.Errorf("%s: %.4f, want %.4f", check.name, check.got, check.want)
		}
	}
}

// TestUse guards against retries that are not told from first calls, and the warm-up that counts as work.
func TestUse(t *testing.T) {
	var use use
	use.add([]engine.Record{
		{Request: "a", Stage: "s"}, {Request: "a", Stage: "s", Attempt: "2"}, {Request: "a", Stage: "t"}, {Request: "b", Stage: "s"}, {},
	}, map[string]bool{})
	if use.calls != 4 || use.distinct != 3 {
		t.Errorf("%+v", use)
	}
}

// TestArrivals guards against loads that differ between runs of a seed, miss their rate, or shift with another stream.
func TestArrivals(t *testing.T) {
	for _, mix := range Mixes {
		settings := Settings{Seed: 7, Capacity: 200, Load: 1}
		const seconds = 40
		first := offerAll(mix, settings, 0, seconds*time.Second)
		if again := offerAll(mix, settings, 0, seconds*time.Second); fmt.Sprint(first) != fmt.Sprint(again) {
			t.Errorf("%s: the same seed gave another load", mix.Name)
		}
		if rate := float64(len(first)) / seconds; rate < 190 || rate > 210 {
			t.Errorf("%s: rate %.1f", mix.Name, rate)
		}
		small := func(arrivals []Arrival) (times string) {
			for _, arrival := range arrivals {
				if arrival.Small {
					times += fmt.Sprint(arrival.At, arrival.Question.Text)
				}
			}
			return times
		}
		calm, flood := teams(normalShare)(mix, settings, 0, time.Second), teams(doubleLoad)(mix, settings, 0, time.Second)
		if small(calm) != small(flood) || len(flood) <= len(calm) {
			t.Errorf("%s: the flood changes the load of small teams", mix.Name)
		}
	}
}

// TestRightAnswer guards against answers of other requests, or cut ones, that count as right.
func TestRightAnswer(t *testing.T) {
	arrival := Arrival{Kind: Mixes[0].Kinds[2], Question: text.Question{Text: "price of FB-1"}}
	stock := []byte(`{"received":{"Question":"price of FB-1"}}`)
	whole := "number on each order"
	for _, answer := range []Answer{{}, {Text: whole}, {Text: whole, Stock: stock}, {Stock: stock}} {
		if answer.isRight(arrival) {
			t.Errorf("%+v counts as right", answer)
		}
	}
}

// TestShortRun guards against a generator that no longer starts, warms or measures either system.
func TestShortRun(t *testing.T) {
	if testing.Short() {
		t.Skip("takes seconds")
	}
	for _, system := range []string{Policy, Baseline} {
		settings := Settings{Mix: "cloakroom", Scenario: "steady", Seed: 1, Load: 0.2, Warmup: 500 * time.Millisecond, Window: time.Second}
		report, err := Run(t.Context(), system, settings)
		if err != nil {
			t.Fatalf("%s: %v", system, err)
		}
		if report.Offered < 20 || report.Wrong > 0 || report.Attainment < 0.9 || report.Amplification < 1 {
			t.Errorf("%s", report)
		}
	}
}

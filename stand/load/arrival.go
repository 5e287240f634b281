package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"catkincove/core"
	"catkincove/stand/text"
)

const (
	wavePeriod = 2 * time.Second
	wavePart   = 0.4 // of the period, at the rate of the burst
	questions  = 400
)

// Arrival is one offered request.
type Arrival struct {
	At       time.Duration // since the start of the run
	Kind     Kind
	Team     core.TeamName
	Small    bool // of a small team
	Extra    bool // of a scenario's burst
	Question text.Question
}

// stream is one source of arrivals with its own seed, so that another stream does not change it.
type stream struct {
	random *rand.Rand
	kinds  []Kind
	teams  []Team
	extra  bool
}

func newStream(seed, number uint64, kinds []Kind, teams []Team) *stream {
	return &stream{random: rand.New(rand.NewPCG(seed, number)), kinds: kinds, teams: teams}
}

// arrivals draws exponential gaps at the rate, in requests per second, which may change over time.
func (stream *stream) arrivals(from, until time.Duration, rate func(time.Duration) float64) []Arrival {
	var arrivals []Arrival
	asked := text.Questions(questions)
	for at := from; ; {
		at += time.Duration(stream.random.ExpFloat64() / rate(at) * float64(time.Second))
		if at >= until {
			return arrivals
		}
		kind := stream.kinds[pick(stream.random, stream.kinds, func(kind Kind) float64 { return kind.Share })]
		team := stream.teams[pick(stream.random, stream.teams, func(team Team) float64 { return team.Share })]
		question := asked[stream.random.IntN(len(asked))]
		question.Text += fmt.Sprintf(" Enquiry %d.", stream.random.IntN(1_000_000))
		arrivals = append(arrivals, Arrival{
			At: at, Kind: kind, Team: team.Name, Small: !team.Large && !stream.extra, Extra: stream.extra, Question: question,
		})
	}
}

func pick[Item any](random *rand.Rand, items []Item, share func(Item) float64) int {
	total := 0.0
	for _, item := range items {
		total += share(item)
	}
	left := random.Float64() * total
	for place, item := range items {
		if left -= share(item); left < 0 {
			return place
		}
	}
	return len(items) - 1
}

// wave returns the rate with the bursts of the mix; its mean is the given rate.
func (mix Mix) wave(rate float64) func(time.Duration) float64 {
	if mix.Wave == 0 {
		return func(time.Duration) float64 { return rate }
	}
	quiet := (1 - wavePart*mix.Wave) / (1 - wavePart)
	return func(at time.Duration) float64 {
		if float64(at%wavePeriod) < wavePart*float64(wavePeriod) {
			return rate * mix.Wave
		}
		return rate * quiet
	}
}

func merge(streams ...[]Arrival) []Arrival {
	merged := slices.Concat(streams...)
	slices.SortStableFunc(merged, func(a, b Arrival) int { return int(a.At - b.At) })
	return merged
}

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
	wavePeriod        = 2 * time.Second
	waveBurstFraction = 0.4 // fraction of the period at the burst rate
	questionCount     = 400
)

// Arrival is one offered request.
type Arrival struct {
	At       time.Duration // offset from the start of the run
	Kind     Kind
	Team     core.TeamName
	Small    bool // sent by a small team
	Extra    bool // belongs to the burst that a scenario adds
	Question text.Question
}

// stream is one source of arrivals with its own random sequence, so that adding a stream doesn't change the others.
type stream struct {
	random *rand.Rand
	kinds  []Kind
	teams  []Team
	extra  bool
}

func newStream(seed, number uint64, kinds []Kind, teams []Team) *stream {
	return &stream{random: rand.New(rand.NewPCG(seed, number)), kinds: kinds, teams: teams}
}

// arrivals returns a Poisson process between two offsets, at a rate in requests per second that may vary over time.
func (stream *stream) arrivals(from, until time.Duration, rate func(time.Duration) float64) []Arrival {
	var arrivals []Arrival
	questions := text.Questions(questionCount)
	for at := from; ; {
		at += time.Duration(stream.random.ExpFloat64() / rate(at) * float64(time.Second))
		if at >= until {
			return arrivals
		}
		kind := stream.kinds[weightedIndex(stream.random, stream.kinds, func(kind Kind) float64 { return kind.Share })]
		team := stream.teams[weightedIndex(stream.random, stream.teams, func(team Team) float64 { return team.Share })]
		question := questions[stream.random.IntN(len(questions))]
		question.Text += fmt.Sprintf(" Enquiry %d.", stream.random.IntN(1_000_000))
		arrivals = append(arrivals, Arrival{
			At: at, Kind: kind, Team: team.Name, Small: !team.Large && !stream.extra, Extra: stream.extra, Question: question,
		})
	}
}

func weightedIndex[Item any](random *rand.Rand, items []Item, share func(Item) float64) int {
	total := 0.0
	for _, item := range items {
		total += share(item)
	}
	remaining := random.Float64() * total
	for index, item := range items {
		if remaining -= share(item); remaining < 0 {
			return index
		}
	}
	return len(items) - 1
}

// wave returns the rate over time with the periodic bursts of the mix; its mean is the given rate.
func (mix Mix) wave(rate float64) func(time.Duration) float64 {
	if mix.Wave == 0 {
		return func(time.Duration) float64 { return rate }
	}
	quiet := (1 - waveBurstFraction*mix.Wave) / (1 - waveBurstFraction)
	return func(at time.Duration) float64 {
		if float64(at%wavePeriod) < waveBurstFraction*float64(wavePeriod) {
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

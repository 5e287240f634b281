package text

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"

	"catkincove/core"
)

// Size and random seed of the sample documents; the price circular and the catalogue have one line for each part.
const (
	sampleParts   = 2400
	sampleRentals = 400
	sampleSeed    = 20261204
)

var (
	partKinds  = []string{"blade", "guard", "motor", "bearing", "capacitor", "stand", "switch", "gearbox", "hub", "cord"}
	partSeries = []string{"FB", "FG", "FM", "FR", "FC", "FS", "FW", "FX", "FH", "FD"}
	fanModels  = []string{"Zephyr", "Mistral", "Sirocco", "Levante", "Bora", "Ostro", "Tramontana"}
	rackKinds  = []string{"coat rack", "umbrella stand", "hat shelf", "garment rail", "cloakroom counter", "numbered hanger set"}
	venues     = []string{"theatre", "school", "museum", "congress hall", "sports club", "opera"}
)

// Question is a sample question with its expected passage and answer.
type Question struct {
	Text    string
	Passage string // ID of the passage that answers the question
	Answer  string // words of the passage that answer the question
}

type sample struct {
	passages  []core.Passage
	questions []Question
}

var generated = sync.OnceValue(generate)
var indexed = sync.OnceValue(func() *Index { return NewIndex(generated().passages) })

// Sample returns the index of the sample documents: a price circular, a catalogue and a rental list.
func Sample() *Index { return indexed() }

// Questions returns up to count sample questions, always the same ones in the same order.
func Questions(count int) []Question {
	all := generated().questions
	return slices.Clone(all[:min(count, len(all))])
}

func generate() sample {
	random := rand.New(rand.NewPCG(sampleSeed, 1))
	var corpus sample
	for number := range sampleParts {
		corpus.addPart(random, number)
	}
	for number := range sampleRentals {
		corpus.addRental(random, number)
	}
	random.Shuffle(len(corpus.questions), func(i, j int) {
		corpus.questions[i], corpus.questions[j] = corpus.questions[j], corpus.questions[i]
	})
	return corpus
}

func (sample *sample) addPart(random *rand.Rand, number int) {
	kind := random.IntN(len(partKinds))
	part := fmt.Sprintf("%s-%d-%c", partSeries[kind], 1000+number, 'A'+rune(random.IntN(20)))
	price := fmt.Sprintf("%d.%02d", 3+random.IntN(180), random.IntN(100))
	discount := 4 + random.IntN(27)
	circular := fmt.Sprintf("circular-%d", 1000+number)
	sample.addPassage(circular, fmt.Sprintf("Price circular line %d: the price of part %s (%s) is EUR %s each, "+
		"dealer discount %d percent from %d pieces.", number+1, part, partKinds[kind], price, discount, 5+random.IntN(96)))
	watts := 18 + random.IntN(160)
	catalogue := fmt.Sprintf("catalogue-%d", 1000+number)
	sample.addPassage(catalogue, fmt.Sprintf("Catalogue entry %s: %s for the %s electric fan, blade size %d mm, motor rating %d W, "+
		"weight %d g.", part, partKinds[kind], fanModels[random.IntN(len(fanModels))], 10*(18+random.IntN(50)), watts, 40+random.IntN(4000)))
	sample.addQuestion(fmt.Sprintf("What is the price of part %s?", part), circular, price)
	sample.addQuestion(fmt.Sprintf("What is the motor rating in the catalogue entry of %s?", part), catalogue, fmt.Sprintf("%d W", watts))
}

func (sample *sample) addRental(random *rand.Rand, number int) {
	code := fmt.Sprintf("CR-%d", 500+number)
	rent := fmt.Sprintf("%d.%02d", 8+random.IntN(90), random.IntN(100))
	id := fmt.Sprintf("rental-%d", 500+number)
	sample.addPassage(id, fmt.Sprintf("Cloakroom rental %s: %s with %d hooks for a %s, EUR %s per day, deposit EUR %d.", code,
		rackKinds[random.IntN(len(rackKinds))], 10*(1+random.IntN(30)), venues[random.IntN(len(venues))], rent, 20*(1+random.IntN(20))))
	sample.addQuestion(fmt.Sprintf("What does the rental of %s cost per day?", code), id, rent)
}

func (sample *sample) addPassage(id, text string) {
	sample.passages = append(sample.passages, core.Passage{ID: id, Text: text})
}

func (sample *sample) addQuestion(text, passage, answer string) {
	sample.questions = append(sample.questions, Question{Text: text, Passage: passage, Answer: answer})
}

package text

import (
	"math"
	"sort"
	"strings"
	"unicode"

	"catkincove/core"
)

// The parameters of BM25, with their usual values.
const (
	saturation = 1.2  // k1, which limits the effect of repeated words
	lengthBias = 0.75 // b, which reduces the scores of long passages
)

type posting struct {
	passage int
	count   int
}

// Index is an immutable inverted index of passages.
type Index struct {
	passages   []core.Passage
	lengths    []int   // words of each passage
	meanLength float64 // mean number of words in a passage
	postings   map[string][]posting
}

// NewIndex returns an index over the passages.
func NewIndex(passages []core.Passage) *Index {
	index := &Index{passages: passages, postings: map[string][]posting{}}
	total := 0
	for number, passage := range passages {
		words := Words(passage.Text)
		counts := map[string]int{}
		for _, word := range words {
			counts[word]++
		}
		for word, count := range counts {
			index.postings[word] = append(index.postings[word], posting{number, count})
		}
		index.lengths = append(index.lengths, len(words))
		total += len(words)
	}
	index.meanLength = float64(total) / float64(max(len(passages), 1))
	return index
}

// Words splits a text into lower-case words; hyphens and dots inside a word are kept, as in part numbers.
func Words(text string) []string {
	fields := strings.FieldsFunc(strings.ToLower(text), func(letter rune) bool {
		return !unicode.IsLetter(letter) && !unicode.IsDigit(letter) && letter != '-' && letter != '.'
	})
	words := fields[:0]
	for _, field := range fields {
		if word := strings.Trim(field, "-."); word != "" {
			words = append(words, word)
		}
	}
	return words
}

// Passages returns all passages of the index.
func (index *Index) Passages() []core.Passage { return index.passages }

// Search returns up to limit passages that match the query, with their BM25 scores, best first.
func (index *Index) Search(query string, limit int) []core.Passage {
	scores := map[int]float64{}
	for _, word := range unique(Words(query)) {
		postings := index.postings[word]
		inverseFrequency := index.inverseFrequency(len(postings))
		for _, posting := range postings {
			scores[posting.passage] += inverseFrequency * index.termWeight(posting.count, index.lengths[posting.passage])
		}
	}
	found := make([]int, 0, len(scores))
	for number := range scores {
		found = append(found, number)
	}
	sort.Slice(found, func(i, j int) bool {
		if scores[found[i]] != scores[found[j]] {
			return scores[found[i]] > scores[found[j]]
		}
		return found[i] < found[j]
	})
	hits := make([]core.Passage, 0, limit)
	for _, number := range found[:min(len(found), limit)] {
		hit := index.passages[number]
		hit.Score = scores[number]
		hits = append(hits, hit)
	}
	return hits
}

// inverseFrequency returns the inverse document frequency of a word that occurs in this many passages.
func (index *Index) inverseFrequency(passages int) float64 {
	total := float64(len(index.passages))
	return math.Log(1 + (total-float64(passages)+0.5)/(float64(passages)+0.5))
}

// termWeight returns the BM25 weight of a word by its count in a passage of this length in words.
func (index *Index) termWeight(count, length int) float64 {
	frequency := float64(count)
	norm := saturation * (1 - lengthBias + lengthBias*float64(length)/max(index.meanLength, 1))
	return frequency * (saturation + 1) / (frequency + norm)
}

func unique(words []string) []string {
	seen := map[string]bool{}
	kept := words[:0]
	for _, word := range words {
		if !seen[word] {
			seen[word] = true
			kept = append(kept, word)
		}
	}
	return kept
}

// Relevance returns the score of each document for a query, as a reranker does.
func Relevance(query string, documents []string) []float64 {
	passages := make([]core.Passage, len(documents))
	for number, document := range documents {
		passages[number].Text = document
	}
	index := NewIndex(passages)
	scores := make([]float64, len(documents))
	for _, word := range unique(Words(query)) {
		for _, posting := range index.postings[word] {
			// Word length replaces the document frequency, which says nothing with about five candidates: longer words
			// identify a document better than common short ones.
			scores[posting.passage] += float64(len(word)) * index.termWeight(posting.count, index.lengths[posting.passage])
		}
	}
	return scores
}

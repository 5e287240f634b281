package model

import (
	"encoding/binary"
	"regexp"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const blockBytes = 64 // of a prompt, about 16 tokens of a real tokenizer

var passageLine = regexp.MustCompile(`(?m)^\[([^\]\n]+)\]\s*(.+)$`)

var fillWords = strings.Fields(`the part is listed with this figure and the dealer may order it from stock while the
	circular holds for the season so please name the number on each order and ask the branch for larger lots`)

// Answer returns the tokens that every target generates for a prompt and whether they end by themselves ("stop") or at
// the bound ("length"); a bound of 0 means none.
//
// The first prompt line of the form "[id] text" counts as the first passage: the answer cites its id and quotes it.
func Answer(prompt string, length, bound int) ([]string, string) {
	var words []string
	if passage := passageLine.FindStringSubmatch(prompt); passage != nil {
		words = append(strings.Fields("According to ["+passage[1]+"]:"), strings.Fields(passage[2])...)
	}
	seed := xxhash.Sum64String(prompt)
	for len(words) < length {
		seed = seed*6364136223846793005 + 1442695040888963407
		words = append(words, fillWords[(seed>>33)%uint64(len(fillWords))])
	}
	tokens := make([]string, 0, len(words))
	for _, word := range words {
		tokens = append(tokens, word+" ")
	}
	if bound > 0 && len(tokens) > bound {
		return tokens[:bound], "length"
	}
	return tokens, "stop"
}

// Blocks returns the chained hashes of the full 64-byte blocks of a prompt; each covers the prompt up to its end.
func Blocks(prompt string) []uint64 {
	var blocks []uint64
	var chain [8]byte
	digest := xxhash.New()
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		digest.Reset()
		_, _ = digest.Write(chain[:])
		_, _ = digest.WriteString(prompt[end-blockBytes : end])
		blocks = append(blocks, digest.Sum64())
		binary.LittleEndian.PutUint64(chain[:], digest.Sum64())
	}
	return blocks
}

// Vector returns the embedding of a text: a normalised bag of hashed words.
func Vector(words []string) []float32 {
	const dimensions = 64
	vector := make([]float32, dimensions)
	for _, word := range words {
		vector[xxhash.Sum64String(word)%dimensions]++
	}
	sum := float32(0)
	for _, value := range vector {
		sum += value
	}
	for place := range vector {
		vector[place] /= max(sum, 1)
	}
	return vector
}

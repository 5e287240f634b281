package model

import (
	"encoding/binary"
	"regexp"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const blockBytes = 64 // bytes of a prompt block, about 16 tokens of a real tokenizer

var passageLine = regexp.MustCompile(`(?m)^\[([^\]\n]+)\]\s*(.+)$`)

var fillWords = strings.Fields(`the part is listed with this figure and the dealer may order it from stock while the
	circular holds for the season so please name the number on each order and ask the branch for larger lots`)

// Answer returns the tokens that every target generates for a prompt, at least minLength before the limit applies, and
// the finish reason: "length" when maxTokens cut them, otherwise "stop"; a maxTokens of 0 means no limit.
//
// The first prompt line of the form "[id] text" counts as the first passage: the answer cites its ID and quotes it.
func Answer(prompt string, minLength, maxTokens int) ([]string, string) {
	var words []string
	if passage := passageLine.FindStringSubmatch(prompt); passage != nil {
		words = append(strings.Fields("According to ["+passage[1]+"]:"), strings.Fields(passage[2])...)
	}
	seed := xxhash.Sum64String(prompt)
	for len(words) < minLength {
		seed = seed*6364136223846793005 + 1442695040888963407
		words = append(words, fillWords[(seed>>33)%uint64(len(fillWords))])
	}
	tokens := make([]string, 0, len(words))
	for _, word := range words {
		tokens = append(tokens, word+" ")
	}
	if maxTokens > 0 && len(tokens) > maxTokens {
		return tokens[:maxTokens], "length"
	}
	return tokens, "stop"
}

// Blocks returns the chained hashes of the full 64-byte blocks of a prompt; each hash covers the
// prompt up to the end of its block.
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

// Vector returns the embedding of a text: its bag of hashed words, normalised to a sum of 1.
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
	for index := range vector {
		vector[index] /= max(sum, 1)
	}
	return vector
}

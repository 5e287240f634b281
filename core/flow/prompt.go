package flow

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"catkincove/core"
)

// BlockBytes is the size of the prompt block that each hash of PrefixHashes adds.
const BlockBytes = 64

// maxBlocks bounds the number of hashes of one prompt; 512 blocks are 32 KiB.
const maxBlocks = 512

const charactersPerToken = 4 // used to estimate the length of a prompt in tokens

// promptTokensPerGeneratedToken is how many prompt tokens take as long as one generated token: an engine prefills a
// prompt in parallel and generates tokens one after another.
const promptTokensPerGeneratedToken = 16

// Prompt returns the prompt of a generating stage; the passages come before the question, so that prompts with the same
// passages share a prefix.
func Prompt(question string, passages []core.Passage) string {
	var prompt strings.Builder
	prompt.WriteString("Answer the question from the passages.\n")
	for _, passage := range passages {
		prompt.WriteString("[" + passage.ID + "] " + passage.Text + "\n")
	}
	prompt.WriteString("Question: " + question + "\nAnswer:")
	return prompt.String()
}

// PrefixHashes returns the chained hashes of the complete blocks of a prompt: each covers its block and all before it.
//
// Hash n is the xxHash64 of hash n-1 (8 bytes, little-endian, 0 for the first) followed by block n.
func PrefixHashes(prompt string) []uint64 {
	blocks := min(len(prompt)/BlockBytes, maxBlocks)
	hashes := make([]uint64, 0, blocks)
	var input [8 + BlockBytes]byte
	for i := range blocks {
		copy(input[8:], prompt[i*BlockBytes:])
		hash := xxhash.Sum64(input[:])
		hashes = append(hashes, hash)
		binary.LittleEndian.PutUint64(input[:8], hash)
	}
	return hashes
}

// fingerprint returns a hash of the request's content; requests that differ only in ID, key, deadline or priority share
// it.
func (request Request) fingerprint() core.Fingerprint {
	digest := xxhash.New()
	add := func(text string) {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(text)))
		_, _ = digest.Write(length[:])
		_, _ = digest.WriteString(text)
	}
	add(string(request.Team))
	add(request.Pipeline)
	add(request.Question)
	for _, stage := range slices.Sorted(maps.Keys(request.CallBodies)) {
		add(stage)
		add(string(request.CallBodies[stage]))
	}
	return core.Fingerprint(digest.Sum64())
}

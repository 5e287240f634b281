// Package place chooses the target for one request from what this daemon has seen of each target: answers, silence,
// failures, cold starts and the prompts it has read.
package place

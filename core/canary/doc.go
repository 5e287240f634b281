// Package canary decides how much of a service's traffic a new software version gets during a rollout, and whether the version is good.
//
// Reading order: tally.go counts the requests of one daemon, split.go divides its requests between the versions, judge.go
// compares the versions by the counts of all daemons with the tests of evidence.go, and ramp.go sets the share of the new one.
// docs/design/rollouts.md derives the figures.
package canary

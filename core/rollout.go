package core

import "time"

// RolloutOrder asks that the traffic of a service move to its targets of one software version.
type RolloutOrder struct {
	Service  string
	Version  string        // of the targets that get the traffic
	Duration time.Duration // time limit, from the writing of the order
}

// RolloutPhase is the state of a rollout.
type RolloutPhase int

// The phases; the zero value is RolloutRunning, so that an unwritten phase never ends a version.
const (
	RolloutRunning    RolloutPhase = iota
	RolloutSucceeded               // all traffic goes to the new version; the others stop at once
	RolloutRolledBack              // the new version gets no traffic; it drains
)

// String returns the name used in logs.
func (phase RolloutPhase) String() string {
	names := [...]string{"Running", "Succeeded", "RolledBack"}
	if phase < 0 || int(phase) >= len(names) {
		return "Unknown"
	}
	return names[phase]
}

// RolloutStatus is what the operator reads about the rollout of a service.
type RolloutStatus struct {
	Phase   RolloutPhase
	Version string // of the order that the phase belongs to
}

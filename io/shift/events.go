package shift

// eventField is the key of a log line's event name.
const eventField = "Event"

// Names of log events; docs/OPERATIONS.md says what to check for each.
const (
	eventStarted    = "RolloutStarted"    // this daemon has read an order
	eventStep       = "RolloutStep"       // this daemon decides, and the share or the reason has changed
	eventEnded      = "RolloutEnded"      // the rollout has succeeded or is rolled back, as far as this daemon knows
	eventWithdrawn  = "RolloutWithdrawn"  // the order is gone from the store
	eventNotWritten = "RolloutNotWritten" // the status was not written; it is tried again
)

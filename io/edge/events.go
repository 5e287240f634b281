package edge

// eventField is the field of a log line that names its event.
const eventField = "Event"

// The events of log lines; docs/OPERATIONS.md tells what to look at for each.
const (
	eventStart               = "Start"               // the daemon begins
	eventDrain               = "Drain"               // the daemon was asked to leave
	eventDrainCut            = "DrainCut"            // requests outlast the grace period
	eventStop                = "Stop"                // the daemon ends
	eventReload              = "Reload"              // the settings were read again
	eventReloadFailed        = "ReloadFailed"        // the settings in force stay
	eventMetricsUnavailable  = "MetricsUnavailable"  // the metrics address cannot be listened on
	eventLogDropped          = "LogDropped"          // log lines were dropped
	eventStoreLost           = "StoreLost"           // the copies of the store's keys age
	eventStoreReturned       = "StoreReturned"       // the copies are kept current again
	eventHistoryLost         = "HistoryLost"         // all keys are listed again
	eventLeaseLapsed         = "LeaseLapsed"         // the daemon's record is written again
	eventLeaseNotRevoked     = "LeaseNotRevoked"     // the daemon's record lapses by itself
	eventRelayFollowed       = "RelayFollowed"       // another daemon follows the store for this one
	eventRelayPassedOver     = "RelayPassedOver"     // the store is followed directly for a while
	eventRoutingChanged      = "RoutingChanged"      // a newer routing is in force
	eventRoutingRejected     = "RoutingRejected"     // a routing cannot be read
	eventRegistrationIgnored = "RegistrationIgnored" // a target's registration names no target to use
	eventMemberIgnored       = "MemberIgnored"       // a daemon's record cannot be read
	eventPeerMet             = "PeerMet"             // another daemon is known
	eventPeerSilent          = "PeerSilent"          // another daemon is passed over after a silence
	eventPeerFailed          = "PeerFailed"          // another daemon is passed over after a failed call
	eventPeerReturned        = "PeerReturned"        // another daemon answers again
	eventPeerForgotten       = "PeerForgotten"       // another daemon is gone
	eventSenderStarts        = "SenderStarts"        // this daemon sends the batches of a service
	eventJobsHandedOver      = "JobsHandedOver"      // another daemon sends the batches
	eventSenderFailed        = "SenderFailed"        // pieces go to the next daemon
	eventPlacedAlone         = "PlacedAlone"         // an engine is chosen from what this daemon knows
	eventBatchFailed         = "BatchFailed"         // a call with pieces failed
	eventPiecesFailed        = "PiecesFailed"        // pieces of a call have no result
	eventFreeFailed          = "FreeFailed"          // results lapse by themselves
	eventAttemptFailed       = "AttemptFailed"       // one sending of a request failed
	eventRequestEnded        = "RequestEnded"        // a request has ended
)

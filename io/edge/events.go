package edge

// eventField is the key of a log line's event name.
const eventField = "Event"

// Names of log events; docs/OPERATIONS.md says what to check for each.
const (
	eventStart               = "Start"               // the daemon starts
	eventDrain               = "Drain"               // the daemon received a signal and drains
	eventDrainCut            = "DrainCut"            // requests were cut off at the end of the grace period
	eventStop                = "Stop"                // the daemon stops
	eventReload              = "Reload"              // the settings were reloaded
	eventReloadFailed        = "ReloadFailed"        // the settings cannot be loaded; those in force stay
	eventMetricsUnavailable  = "MetricsUnavailable"  // the metrics address cannot be listened on
	eventStagesRepeated      = "StagesRepeated"      // the inputs of a stage are gone, and those stages of the request run again whose results are missing
	eventStagesNotRepeated   = "StagesNotRepeated"   // the same without time for it
	eventPaused              = "Paused"              // the process was paused; what it knew before is checked
	eventPanic               = "Panic"               // the daemon recovered from a panic, a fault of its own
	eventConnectionsEvicted  = "ConnectionsEvicted"  // connections were closed or refused because too many were open or held too much memory
	eventLogDropped          = "LogDropped"          // log lines were dropped
	eventStoreLost           = "StoreLost"           // the store is unavailable and the copies of its keys are not updated
	eventStoreReturned       = "StoreReturned"       // the store is available again
	eventHistoryLost         = "HistoryLost"         // the store has compacted the history; all keys are listed again
	eventStoreRestored       = "StoreRestored"       // the store was restored from a backup
	eventListingIgnored      = "ListingIgnored"      // a listing of all keys is older than the copies, which stay
	eventLeaseLapsed         = "LeaseLapsed"         // the lease has expired; the daemon's record is written again
	eventLeaseNotRevoked     = "LeaseNotRevoked"     // the lease was not revoked; the daemon's record expires with it
	eventRelayFollowed       = "RelayFollowed"       // the daemon copies from a relay instead of the store
	eventRelayPassedOver     = "RelayPassedOver"     // a relay failed; the store is followed directly for a while
	eventRoutingChanged      = "RoutingChanged"      // a newer routing is in force
	eventRoutingRejected     = "RoutingRejected"     // a routing cannot be decoded
	eventRoutingIgnored      = "RoutingIgnored"      // a routing is no newer than the one in force, by its version or its revision
	eventRegistrationIgnored = "RegistrationIgnored" // a target's registration cannot be decoded
	eventMemberIgnored       = "MemberIgnored"       // a daemon's record cannot be decoded
	eventPeerMet             = "PeerMet"             // another daemon was added
	eventPeerSilent          = "PeerSilent"          // another daemon is unresponsive and passed over
	eventPeerFailed          = "PeerFailed"          // a call to another daemon failed; it is passed over
	eventPeerReturned        = "PeerReturned"        // another daemon responds again
	eventPeerForgotten       = "PeerForgotten"       // another daemon was removed
	eventSenderStarts        = "SenderStarts"        // this daemon starts to send the batches of a service
	eventJobsHandedOver      = "JobsHandedOver"      // queued jobs were handed over to another daemon
	eventResultsAbandoned    = "ResultsAbandoned"    // the results of a daemon that terminated are freed
	eventSenderFailed        = "SenderFailed"        // the sender of a service failed; its pieces go to the next one
	eventPlacedAlone         = "PlacedAlone"         // an engine is chosen from local state
	eventBatchFailed         = "BatchFailed"         // a batch call failed
	eventPiecesFailed        = "PiecesFailed"        // pieces of a batch have no result
	eventJobsLate            = "JobsLate"            // queued jobs cannot meet their deadline
	eventFreeFailed          = "FreeFailed"          // results were not freed and expire on their own
	eventAttemptFailed       = "AttemptFailed"       // an attempt at a target failed
	eventCrashRecorded       = "CrashRecorded"       // a target may have crashed under a request
	eventQuarantineBegan     = "QuarantineBegan"     // this daemon rejects prompts with a part
	eventQuarantineEnded     = "QuarantineEnded"     // this daemon no longer rejects prompts with a part
	eventQuarantineProbed    = "QuarantineProbed"    // a request is sent to find out whether a quarantined part is sound
	eventQuarantineRecorded  = "QuarantineRecorded"  // a part of prompts is quarantined, which the store records
	eventQuarantineIgnored   = "QuarantineIgnored"   // the record of a quarantine cannot be decoded
	eventLimitNamed          = "LimitNamed"          // a target names a request rate for all daemons together, or another one than before
	eventPermitFailed        = "PermitFailed"        // the daemon that paces a limited target did not respond
	eventLimitLifted         = "LimitLifted"         // a target no longer names a request rate
	eventTargetLeaves        = "TargetLeaves"        // a target has registered that it leaves
	eventTargetSuperseded    = "TargetSuperseded"    // another target has started at the address of one whose registration has not lapsed yet
	eventTargetReinstated    = "TargetReinstated"    // a target counted as superseded and is used again
	eventTargetPauses        = "TargetPauses"        // a full target has stated for how long it wants nothing from this daemon
	eventPathsLost           = "PathsLost"           // this daemon reaches most targets no longer
	eventPathsReturned       = "PathsReturned"       // this daemon reaches the targets again
	eventBaseline            = "Baseline"            // streams at another software version need no record from now on
	eventOriginUnrecorded    = "OriginUnrecorded"    // a stream begins before the record of its software version is written
	eventOriginUnknown       = "OriginUnknown"       // the software version that began a stream cannot be read
	eventOriginResolved      = "OriginResolved"      // what tells the software version that began a resumed stream
	eventOriginNotWritten    = "OriginNotWritten"    // records of software versions were not written to the store
	eventTakeover            = "Takeover"            // a silent target's request was offered to another one
	eventSecondTry           = "SecondTry"           // a slow request was sent to a second target
	eventRequestEnded        = "RequestEnded"        // a request has ended
)

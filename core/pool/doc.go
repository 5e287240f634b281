// Package pool admits and queues the requests of one pool and grants them to its targets.
//
// A pool is the targets of one service in one data centre. The limit of a target is the number of requests that it may
// run at the same time: it starts at the configured cold limit and rises with completed requests up to the capacity. The
// limit returns to the cold limit when the target restarts, disconnects, is ejected or goes cold.
//
// A Dispatcher is a pure state machine: it starts no goroutine, takes no lock and is given the time. It is used only on
// the control goroutine of the daemon that owns the pool.
//
// The owner of the pool calls Open after the handover gap, and Close before it responds to any request once its lease may
// have ended. After each event (RequestGrant, Release, ApplyLoadReport, LoadReportFailed, Tick, Configure, MergeSuspects) it
// calls Dispatch and passes each reply to the grant request that waits for that queue entry. A reply that nobody waits
// for is kept until the sender polls its queue entry. Tick is called a few times a second.
//
// The sender is the daemon that sends the request to the target. It releases the grant of a failed attempt before it
// requests the next one, so that a request content that has just crashed a target is known as a suspect.
package pool

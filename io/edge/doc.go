// Package edge assembles the daemon that forwards opaque requests to the targets of the users' platform.
//
// Reading order: daemon.go assembles the parts; follow.go, member.go and peer.go maintain the copies of the store and
// what is known about the other daemons; front.go serves a request: stages.go produces its inputs, engines.go places
// its prompt, send.go and stream.go forward it to a target and relay the response, and takeover.go moves it when the
// target is silent; crash.go and quarantine.go stop requests that crash targets; pools.go sends the batches of the
// services that this daemon is the sender for; origin.go and holders.go keep what began a stream, so that only targets of
// the same software version go on with it; rollout.go connects
// the orders of rollouts, which io/shift carries out; drain.go ends the requests of a daemon that leaves.
package edge

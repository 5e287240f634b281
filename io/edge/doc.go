// Package edge assembles the daemon that forwards opaque requests to the targets of the users' platform.
//
// Reading order: daemon.go assembles the parts; follow.go, member.go and peer.go keep what the daemon knows; front.go
// serves a request, with stages.go before and send.go and stream.go at its target; pools.go sends the batches of the
// services that this daemon is the sender for.
package edge

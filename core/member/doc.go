// Package member is the view of the daemons: store records, heartbeats, address answers and rendezvous order.
package member

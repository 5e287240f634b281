// Package shift carries out the operator's orders to move a service to another software version: it divides the requests of a daemon between
// the versions, tells the daemon that decides what became of them, and keeps the status that the operator reads.
//
// Reading order: mover.go follows the orders and divides the requests, report.go exchanges reports and grants with the deciding daemon, and
// status.go writes the status. What is decided, and why, is in core/canary.
package shift

// Package audit reviews a routing configuration before it is sent: entries that can never match, limits that contradict each other, and what differs from
// the configuration in force.
package audit

// Package load generates the same seeded open-loop load for the daemons and for a baseline router and compares the results.
package load

// Package load offers open-arrival load to the daemons and to a plain router, with the same seeds, and compares them.
package load

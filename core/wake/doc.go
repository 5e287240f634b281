// Package wake detects that the process was paused, and tells when what it knew before has been checked.
package wake

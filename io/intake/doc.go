// Package intake bounds what callers, and others that connect to a process, may use of its memory and descriptors.
package intake

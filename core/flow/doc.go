// Package flow runs one request through the stages of its pipeline and accounts for it.
package flow

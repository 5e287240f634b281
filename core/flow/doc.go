// Package flow runs a request through the stages of its pipeline, retries failed attempts and records their cost; Chain runs the stages before a request that is forwarded.
package flow

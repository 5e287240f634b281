// Package vmlist stands in for the platform's lagging list of VMs.
package vmlist

// Package vmlist simulates the platform's list of VMs, which shows changes with a lag.
package vmlist

// Package blame counts the targets that a request has crashed, over all daemons.
package blame

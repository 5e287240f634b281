// Package blame counts the targets that a request content or a part of a prompt has crashed, over all daemons, and quarantines it.
package blame

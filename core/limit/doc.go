// Package limit keeps the request rates that targets name for all daemons together, and paces what is sent to such targets.
package limit

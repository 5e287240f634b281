// Package config holds the configuration objects that operators declare and the rules for changing them with tickets.
package config

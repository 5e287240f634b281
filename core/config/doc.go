// Package config holds the declarations that operators make and the rules for changing them.
package config

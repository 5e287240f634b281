// Package roster merges the registrations of targets: of several about one target, or one address, it says which one is of a live process.
package roster

// Command standin runs stand-ins of the platform for tests and trials.
package main

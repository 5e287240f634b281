// Command standin runs simulated parts of the platform, and measurements and load tests against them.
package main

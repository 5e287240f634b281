// Package tool implements the commands of the catkincove program.
package tool

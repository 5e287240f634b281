// Command catkincove serves multi-stage model pipelines and has commands for callers and operators.
package main

// Command catkincove serves multi-stage model pipelines and gives operators their tools.
package main

// Package proc reads the use of CPU and memory from /proc.
package proc

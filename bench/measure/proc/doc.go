// Package proc reads the use of processors and memory from /proc.
package proc

package main

import "strings"

// listFlag is a flag whose value is a comma-separated list.
type listFlag []string

// String implements flag.Value.
func (l *listFlag) String() string { return strings.Join(*l, ",") }

// Set implements flag.Value.
func (l *listFlag) Set(value string) error {
	*l = nil
	for item := range strings.SplitSeq(value, ",") {
		if item = strings.TrimSpace(item); item != "" {
			*l = append(*l, item)
		}
	}
	return nil
}

package load

import (
	"bufio"
	"fmt"
	"io"
)

// Write writes samples as lines of tab-separated values: the prefix, the kind,
// and in milliseconds the scheduled arrival, the lateness of the sending, the
// times to the first and the last token, then the number of tokens and how a
// failed call ended.
func Write(w io.Writer, prefix string, samples []Sample) error {
	out := bufio.NewWriter(w)
	for i := range samples {
		s := &samples[i]
		problem := ""
		if !s.Result.OK() {
			problem = s.Result.String()
		}
		_, _ = fmt.Fprintf(out, "%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%s\n", prefix, s.Kind,
			milliseconds(s.At), milliseconds(s.Late), milliseconds(s.Result.FirstToken), milliseconds(s.Result.Total),
			s.Result.Tokens, problem)
	}
	return out.Flush() // reports the first failed write
}

package load

import (
	"bufio"
	"fmt"
	"io"
)

// WriteTSV writes each sample as a line of tab-separated values: the prefix, the
// kind, in milliseconds the scheduled arrival, the delay of sending and the times to
// the first and the last token, then the number of tokens and the result of a failed
// call.
func WriteTSV(w io.Writer, prefix string, samples []Sample) error {
	out := bufio.NewWriter(w)
	for i := range samples {
		s := &samples[i]
		failure := ""
		if !s.Result.OK() {
			failure = s.Result.String()
		}
		_, _ = fmt.Fprintf(out, "%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%s\n", prefix, s.Kind,
			milliseconds(s.At), milliseconds(s.SendDelay), milliseconds(s.Result.FirstToken), milliseconds(s.Result.Total),
			s.Result.Tokens, failure)
	}
	return out.Flush() // reports the first failed write
}

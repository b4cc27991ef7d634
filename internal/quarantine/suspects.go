package quarantine

import "slices"

// suspects returns the candidates that may be held responsible: each request that
// crashed enough replicas, however many others crash replicas at the same time, and
// then the most likely part of prompts.
func suspects(candidates []*candidate) []*candidate {
	var out []*candidate
	for _, c := range candidates {
		if c.part.isRequest() && c.series() >= minCrashes {
			out = append(out, c)
		}
	}
	if likely := mostLikely(candidates); likely != nil && likely.series() >= minCrashes {
		out = append(out, likely)
	}
	return out
}

// mostLikely returns the part of prompts that most likely causes the crashes, or nil if
// there is none. Parts that have proved harmless are considered if no other part is in
// a series of crashes: what has been harmless may crash replicas of another version.
func mostLikely(candidates []*candidate) *candidate {
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(c *candidate) bool { return c.part.isRequest() })
	unproved := slices.DeleteFunc(slices.Clone(candidates), func(c *candidate) bool { return c.harmless })
	if likely := mostSpecific(unproved); likely != nil && likely.series() >= minCrashes {
		return likely
	}
	return mostSpecific(candidates)
}

// mostSpecific returns the last part of prompts among those that explain almost as many
// crashes as the first candidate, or nil if there is no candidate.
func mostSpecific(candidates []*candidate) *candidate {
	var likely *candidate
	for _, c := range candidates {
		enough := likely == nil || float64(c.crashes) >= specificShare*float64(candidates[0].crashes)
		if enough && (likely == nil || c.depth > likely.depth) {
			likely = c
		}
	}
	return likely
}

package placement

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// promptCounters count what the hub expects replicas to save by what they keep of
// prompts.
type promptCounters struct {
	tokens, kept, passedOver tally.Counter
}

func newPromptCounters(scope tally.Scope) promptCounters {
	if scope == nil {
		scope = tally.NoopScope
	}
	return promptCounters{tokens: scope.Counter("prompt_tokens"), kept: scope.Counter("prompt_tokens_kept"), passedOver: scope.Counter("prompt_warmer_passed_over")}
}

// reportPrompts counts and logs what was saved by what replicas keep of prompts.
func (h *hub) reportPrompts(g group, state *groupState, now time.Time) {
	stats, due := state.prompts.takeStats(now)
	if !due {
		return
	}
	h.promptCounters.tokens.Inc(int64(stats.tokens))
	h.promptCounters.kept.Inc(int64(stats.kept))
	h.promptCounters.passedOver.Inc(int64(stats.passedOver))
	h.log.Info("requests were placed by their prompts", "group", g.key(), "count", stats.requests, "tokens", stats.tokens, "kept_tokens", stats.kept,
		"warmer_passed_over", stats.passedOver, "mean_tokens", int(state.prompts.meanTokens))
}

// Package engine is the stand-in for a model engine. One loop runs continuous
// batching: requests are admitted first in, first out and without priorities, and
// a prefix cache of bounded size saves prefill. Streams can be resumed and
// cancelled, and the KV cache of a request exported and imported. Cache events are
// published late and with gaps, load reports lag, and orders carry fencing
// numbers.
//
// The output depends only on the prompt, so that a caller can check every token,
// also after a resume.
package engine

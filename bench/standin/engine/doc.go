// Package engine is the stand-in of a model engine. It batches continuously in
// one loop, admits requests first in, first out, knows no priorities, caches
// prompt prefixes in bounded memory, and can resume and cancel streams, export
// and import KV cache, publish cache events late and with gaps, report load
// with a lag and take orders with fencing numbers.
//
// Its answers are determined by the prompt alone, so that a caller can check
// every token, also after a resume.
package engine

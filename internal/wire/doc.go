// Package wire decodes msgpack data that may be malformed. The codec allocates as many
// elements as an array says it has, and recurses as deep as values are nested, so a
// few bytes could otherwise exhaust the memory or the stack of a process.
package wire

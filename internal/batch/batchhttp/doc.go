// Package batchhttp serves /v1/files and /v1/batches in the format of the OpenAI
// API.
//
// The output file of a job has one line per item, including failures; the errors
// file has only the lines of the failures.
package batchhttp

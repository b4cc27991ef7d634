// Package batchhttp serves /v1/files and /v1/batches in the forms of the
// OpenAI API.
//
// The output file of a job has one line for each item, failures included; the
// errors file has the lines of the failures only.
package batchhttp

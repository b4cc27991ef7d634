// Package strictjson parses JSON with comments and reports every problem of a
// document with its file, line, column and path. It is used for settings
// documents, the node settings file and the bodies of operators' requests.
package strictjson

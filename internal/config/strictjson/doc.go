// Package strictjson reads JSON with comments and reports every problem of a
// document with its file, line, column and path. Settings documents, the node
// settings file and the bodies of operators' requests are read with it.
package strictjson

package core

// Version is the version of the program.
const Version = "0.1.0-dev"

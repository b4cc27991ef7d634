package core

// Version is the version of the gentiantide programs.
const Version = "0.1.0-dev"

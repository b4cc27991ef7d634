// Command demo starts stand-ins and nodes on loopback and checks the promises
// of the system from outside.
package main

func main() {}

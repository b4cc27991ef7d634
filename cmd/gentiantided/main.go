// Command gentiantided is the node daemon of gentiantide.
package main

func main() {}

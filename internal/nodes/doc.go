// Package nodes is the directory of the nodes of a deployment. Each node writes a
// row of the table service with its address and the time until which its lease
// runs, and reads the rows of the others. A node's lifetime names one run of its
// process.
package nodes

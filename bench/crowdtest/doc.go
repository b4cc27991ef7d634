// Package crowdtest tests a node daemon against crowds of clients that hold its memory.
// Its tests start real processes and measure their memory, so that they run one at a
// time and apart from other load: see "make crowd".
package crowdtest

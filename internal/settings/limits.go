package settings

// limits bound what is read, kept and sent at once.
type limits struct {
	// catchUp is the number of log entries that a node reads from the table
	// before it reads the whole tree instead.
	catchUp uint64
	// scanPage is the number of rows that one scan asks for.
	scanPage int
	// keptEntries and keptBytes bound the log entries that a node keeps for its
	// peers. One that is further behind fetches the whole tree.
	keptEntries, keptBytes int
	// chunkBytes bounds the settings in one message; a message between nodes is
	// at most 1 MiB.
	chunkBytes int
}

func defaultLimits() limits {
	return limits{catchUp: 256, scanPage: 200, keptEntries: 256, keptBytes: 1 << 20, chunkBytes: 256 << 10}
}

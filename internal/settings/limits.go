package settings

// limits bounds the amount of settings data that is read, cached or sent at once.
type limits struct {
	// maxReplayedEntries is the largest number of missing log entries that a node
	// reads from the table service; if more are missing, it reads the full tree.
	maxReplayedEntries uint64
	// scanPageRows is the number of rows requested by one scan.
	scanPageRows int
	// maxRecentEntries and maxRecentBytes bound the log entries that a node keeps
	// in memory for its peers. A peer that is further behind fetches the full tree.
	maxRecentEntries, maxRecentBytes int
	// maxChunkBytes bounds the settings in one message. It must stay well below
	// 1 MiB, the maximum size of a message between nodes.
	maxChunkBytes int
}

func defaultLimits() limits {
	return limits{maxReplayedEntries: 256, scanPageRows: 200, maxRecentEntries: 256, maxRecentBytes: 1 << 20, maxChunkBytes: 256 << 10}
}

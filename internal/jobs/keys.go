package jobs

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"gentiantide.example/gentiantide/internal/infra"
)

const (
	// JobsTable holds one row for each job.
	JobsTable = "jobs"
	// ResultsTable holds one row for each result.
	ResultsTable = "results"
	// partitionCount is the number of partitions of both tables. Each partition
	// handles 200 transactions per second. A node reads all partitions at its
	// start, so more of them slow the start down.
	partitionCount = 4
	// positionDigits is the width to which positions are zero-padded, so that
	// keys sort by position.
	positionDigits = 6
)

// Partitions returns the partitions of the tables.
func Partitions() []string {
	all := make([]string, partitionCount)
	for i := range all {
		all[i] = strconv.Itoa(i)
	}
	return all
}

func partition(job string) string {
	return strconv.FormatUint(xxhash.Sum64String(job)%partitionCount, 10)
}

func jobKey(job string) infra.RowKey {
	return infra.RowKey{Table: JobsTable, Partition: partition(job), Key: job}
}

func resultKey(job string, position int) infra.RowKey {
	key := fmt.Sprintf("%s/%0*d", job, positionDigits, position)
	return infra.RowKey{Table: ResultsTable, Partition: partition(job), Key: key}
}

// resultRange is the key range of a job's results from a position on.
func resultRange(job string, from int) infra.RowRange {
	first := resultKey(job, from)
	return infra.RowRange{
		Table: ResultsTable, Partition: first.Partition, From: first.Key,
		To: job + "0", // "0" follows "/" in key order, so this ends the job's keys
	}
}

// singleRow is the range that contains only the given row.
func singleRow(key infra.RowKey) infra.RowRange {
	return infra.RowRange{Table: key.Table, Partition: key.Partition, From: key.Key, To: key.Key + "\x00"}
}

// objectName returns the name of an object of a job. The owner and the serial
// number make it unique.
func objectName(job, owner string, serial uint64) string {
	return fmt.Sprintf("job-%s-%x-%d", job, xxhash.Sum64String(owner), serial)
}

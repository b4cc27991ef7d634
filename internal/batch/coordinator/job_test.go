package coordinator

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/batch/records"
)

// If the report about a split-off range is lost, the job must not be taken for
// complete, and scans must not skip the range.
func TestSplitRangeIsAddedWithItsParent(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	j := newJobInfo("j", 0)
	j.row = records.Job{Ranges: 2, State: records.JobInProgress}
	j.getOrAdd("00000000")
	j.getOrAdd("00000001")
	j.update("00000000", 5, nil, records.Range{State: records.RangeDone, Splits: 1}, now)
	j.update("00000001", 6, nil, records.Range{State: records.RangeDone}, now)
	g.Expect(j.complete()).To(gomega.BeFalse())
	g.Expect(j.rangeIDs[:j.firstOpen]).To(gomega.Equal([]string{"00000000"}), "the next scan must read the ranges after the parent")
	g.Expect(j.nextFree(now)).To(gomega.BeEmpty(), "a range without a known row is not handed out")
	j.update("00000000.00", 7, nil, records.Range{State: records.RangeReleased}, now)
	g.Expect(j.nextFree(now)).To(gomega.Equal("00000000.00"))
	j.update("00000000.00", 8, nil, records.Range{State: records.RangeDone}, now)
	g.Expect(j.complete()).To(gomega.BeTrue())
}

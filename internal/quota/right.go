package quota

// Right is the part of a limit that a ledger may lease.
type Right struct {
	// Share is the fraction of the limit.
	Share float64
	// DataCentres is the number of data centres that the limit is divided among.
	DataCentres int
	// Spare is what may be leased at once, in requests, beyond the share of the burst.
	Spare float64
	// Missed is set while another data centre doesn't answer.
	Missed bool
}

// dataCentreRight is the right of a data centre's owner.
func dataCentreRight(dataCentres int) Right {
	return Right{Share: 1 / float64(max(1, dataCentres)), DataCentres: max(1, dataCentres), Spare: ledgerSpare}
}

// takeoverRight is the right of an owner that can't be sure that the one before it has
// stopped.
func takeoverRight(dataCentres int) Right {
	r := dataCentreRight(dataCentres)
	r.Share, r.Spare = min(r.Share, takeoverShare), takeoverSpare
	return r
}

// loneRight is the right of a node that reaches no other node.
func loneRight(nodes, dataCentres int) Right {
	if nodes == 0 {
		nodes = assumedNodes
	}
	return Right{Share: loneShare / float64(nodes), DataCentres: max(1, dataCentres), Spare: loneSpare}
}

// perSecond returns the rate of a limit that the right allows.
func (r Right) perSecond(l Limit) float64 {
	return r.Share*l.PerSecond + r.extra(l)
}

// extra returns the rate beyond the share.
func (r Right) extra(l Limit) float64 {
	if !r.Missed {
		return 0
	}
	return (missedShare*l.PerSecond + missedRate) / float64(r.DataCentres)
}

// burst returns how much of a limit the right allows at once.
func (r Right) burst(l Limit) float64 { return r.Share*l.Burst + r.Spare }

// perWindow returns how much of a limit the right allows to be leased in a window and the
// time of the leases that were used at its beginning.
func (r Right) perWindow(l Limit) float64 {
	return r.perSecond(l)*(window+leaseTime+slotTime).Seconds() + r.burst(l)
}

package sidecar

import (
	"net/netip"
	"time"

	"github.com/snipestep/snipestep/loadreport"
)

// reportPace decides which entries get a report. Those in the agent's region get each change;
// they send most of its requests. The others get changes as often as
// loadreport.MaxDatagramsPerSecond allows, and every loadreport.RefreshInterval at least: with all of them, the datagrams of a fleet would
// grow with entries times agents at the full rate, most of them between regions.
type reportPace struct {
	remoteSentAt time.Time
}

// selectRecipients returns the entries that get a report now. urgent says that the report tells
// more than a changed load.
func (p *reportPace) selectRecipients(now time.Time, entries map[netip.AddrPort]subscriber, urgent bool) map[netip.AddrPort]subscriber {
	near := make(map[netip.AddrPort]subscriber)
	for addr, entry := range entries {
		if entry.subscription.SameRegion {
			near[addr] = entry
		}
	}
	interval := loadreport.RemoteInterval(len(near), len(entries)-len(near), loadreport.PollInterval, loadreport.RefreshInterval)
	// Polls are PollInterval apart, with some jitter.
	if urgent || now.Sub(p.remoteSentAt) >= interval-loadreport.PollInterval/2 {
		p.remoteSentAt = now
		return entries
	}
	return near
}

// tellsMoreThanLoad reports whether a report differs from the last one in more than the load.
func tellsMoreThanLoad(report, last loadreport.Report) bool {
	report.Running, report.Waiting, report.Slowdown = last.Running, last.Waiting, last.Slowdown
	report.Demand, report.Entries = last.Demand, last.Entries
	return report != last
}

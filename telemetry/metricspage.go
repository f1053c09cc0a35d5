package telemetry

import (
	"slices"
	"strings"

	prom "github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
)

// pageOrder gathers metrics in the order of the metrics page: those of the program
// first, and of these gauges, counters and histograms in turn. A collector that keeps
// only the start of the page then holds the state of the process.
func pageOrder(gatherer prom.Gatherer) prom.Gatherer {
	return prom.GathererFunc(func() ([]*dto.MetricFamily, error) {
		families, err := gatherer.Gather()
		// Families of one section stay sorted by name.
		slices.SortStableFunc(families, func(a, b *dto.MetricFamily) int { return pageSection(a) - pageSection(b) })
		return families, err
	})
}

// pageSection returns the position of a family's section on the metrics page.
func pageSection(family *dto.MetricFamily) int {
	const runtimeSection = 3
	if !strings.HasPrefix(family.GetName(), metricPrefix+"_") {
		return runtimeSection
	}
	switch family.GetType() {
	case dto.MetricType_GAUGE:
		return 0
	case dto.MetricType_COUNTER:
		return 1
	default:
		return 2
	}
}

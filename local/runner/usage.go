package runner

import (
	"runtime"
	"syscall"
	"time"
)

// Usage is what the whole process spent while the load ran: stand-ins,
// callers, entries and agents together.
type Usage struct {
	// Seconds is the length of the load and CPUSeconds the processor time.
	Seconds    float64
	CPUSeconds float64
	// HeapBytes and StackBytes are what the run added, after a collection at
	// the end of the load.
	HeapBytes  int64
	StackBytes int64
	Goroutines int
}

// usageMeter fills a Usage.
type usageMeter struct {
	into   *Usage
	since  time.Time
	cpu    float64
	memory runtime.MemStats // Before the fleet started.
}

// newUsageMeter notes the memory in use. It does nothing without a target.
func newUsageMeter(into *Usage) *usageMeter {
	m := &usageMeter{into: into}
	if into != nil {
		runtime.GC()
		runtime.ReadMemStats(&m.memory)
	}
	return m
}

// start begins the measured stretch.
func (m *usageMeter) start() {
	m.since = time.Now()
	m.cpu = cpuSeconds()
}

// end ends the measured stretch.
func (m *usageMeter) end() {
	if m.into == nil {
		return
	}
	m.into.Seconds = time.Since(m.since).Seconds()
	m.into.CPUSeconds = cpuSeconds() - m.cpu
	m.into.Goroutines = runtime.NumGoroutine()
	var now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&now)
	m.into.HeapBytes = int64(now.HeapAlloc) - int64(m.memory.HeapAlloc)
	m.into.StackBytes = int64(now.StackInuse) - int64(m.memory.StackInuse)
}

// cpuSeconds returns the processor time of the process, 0 where the system
// does not tell.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	spent := time.Duration(usage.Utime.Nano()) + time.Duration(usage.Stime.Nano())
	return spent.Seconds()
}

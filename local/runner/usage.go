package runner

import (
	"runtime"
	"syscall"
	"time"
)

// Usage holds the resources that the whole process used while the load ran: fake
// services, callers, entries and agents together.
type Usage struct {
	// Seconds is the duration of the load and CPUSeconds the processor time.
	Seconds    float64
	CPUSeconds float64
	// HeapBytes and StackBytes are the growth since before the run, after a garbage
	// collection at the end of the load.
	HeapBytes  int64
	StackBytes int64
	Goroutines int
}

// usageMeter measures a Usage.
type usageMeter struct {
	usage             *Usage
	startedAt         time.Time
	cpuSecondsAtStart float64
	memoryBefore      runtime.MemStats // Before the fleet started.
}

// newUsageMeter records the memory in use, unless usage is nil.
func newUsageMeter(usage *Usage) *usageMeter {
	m := &usageMeter{usage: usage}
	if usage != nil {
		runtime.GC()
		runtime.ReadMemStats(&m.memoryBefore)
	}
	return m
}

// start begins the measured period.
func (m *usageMeter) start() {
	m.startedAt = time.Now()
	m.cpuSecondsAtStart = cpuSeconds()
}

// stop ends the measured period and fills the Usage.
func (m *usageMeter) stop() {
	if m.usage == nil {
		return
	}
	m.usage.Seconds = time.Since(m.startedAt).Seconds()
	m.usage.CPUSeconds = cpuSeconds() - m.cpuSecondsAtStart
	m.usage.Goroutines = runtime.NumGoroutine()
	var now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&now)
	m.usage.HeapBytes = int64(now.HeapAlloc) - int64(m.memoryBefore.HeapAlloc)
	m.usage.StackBytes = int64(now.StackInuse) - int64(m.memoryBefore.StackInuse)
}

// cpuSeconds returns the processor time of the process, or 0 if it is unavailable.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	spent := time.Duration(usage.Utime.Nano()) + time.Duration(usage.Stime.Nano())
	return spent.Seconds()
}

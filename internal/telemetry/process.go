package telemetry

import (
	"context"
	"runtime/metrics"
	"syscall"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/metric"
)

// Go runtime metrics: mapped memory, memory returned to the operating system, and
// memory of heap objects, in bytes.
const (
	runtimeTotal    = "/memory/classes/total:bytes"
	runtimeReleased = "/memory/classes/heap/released:bytes"
	runtimeHeap     = "/memory/classes/heap/objects:bytes"
)

// ProcessUsage is the resource usage of the process.
type ProcessUsage struct {
	// CPUSeconds is the user and system CPU time of all threads since the start.
	CPUSeconds float64 `json:"cpu_seconds"`
	// MemoryBytes is the memory mapped by the Go runtime, without the part
	// returned to the operating system.
	MemoryBytes uint64 `json:"memory_bytes"`
	// HeapBytes is the part of MemoryBytes that heap objects occupy.
	HeapBytes uint64 `json:"heap_bytes"`
}

// ReadProcessUsage reads the usage of the current process. It triggers no garbage
// collection and does not stop the world.
func ReadProcessUsage() (ProcessUsage, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return ProcessUsage{}, errors.Wrap(err, "read CPU time")
	}
	samples := []metrics.Sample{{Name: runtimeTotal}, {Name: runtimeReleased}, {Name: runtimeHeap}}
	metrics.Read(samples)
	return ProcessUsage{
		CPUSeconds:  seconds(usage.Utime) + seconds(usage.Stime),
		MemoryBytes: samples[0].Value.Uint64() - samples[1].Value.Uint64(),
		HeapBytes:   samples[2].Value.Uint64(),
	}, nil
}

func seconds(t syscall.Timeval) float64 {
	const microsecondsPerSecond = 1e6
	return float64(t.Sec) + float64(t.Usec)/microsecondsPerSecond
}

// RegisterProcess exports the usage of the current process.
func RegisterProcess(meter metric.Meter) error {
	cpu, err := meter.Float64ObservableCounter("crocusway.process.cpu_seconds",
		metric.WithDescription("CPU time of the process, in seconds."))
	if err != nil {
		return errors.Wrap(err, "register metric crocusway.process.cpu_seconds")
	}
	memory, err := meter.Int64ObservableGauge("crocusway.process.memory_bytes",
		metric.WithDescription("Memory held by the Go runtime, in bytes."))
	if err != nil {
		return errors.Wrap(err, "register metric crocusway.process.memory_bytes")
	}
	observe := func(_ context.Context, o metric.Observer) error {
		usage, err := ReadProcessUsage()
		if err != nil {
			return err
		}
		o.ObserveFloat64(cpu, usage.CPUSeconds)
		o.ObserveInt64(memory, int64(usage.MemoryBytes))
		return nil
	}
	_, err = meter.RegisterCallback(observe, cpu, memory)
	return errors.Wrap(err, "register process metrics")
}

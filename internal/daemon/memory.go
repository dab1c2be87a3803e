package daemon

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"github.com/crocusway/crocusway/internal/intake"
)

const (
	// programBytes is what the program text and its constants take, which the limit of the
	// runtime does not cover.
	programBytes = 16 << 20
	// reserveFraction is the reciprocal of the part of the memory that the runtime leaves to
	// what it can't collect in time. The garbage collector runs more often near its limit.
	reserveFraction = 4
	// fallbackMemory and fallbackDescriptors apply if the machine does not tell its own.
	fallbackMemory      = 256 << 20
	fallbackDescriptors = 1024
)

// newAccount returns the account of the callers of a process with this memory in bytes and
// these descriptors, 0: those of the machine. It also limits the memory of the runtime.
func newAccount(memory int64, descriptors int) *intake.Account {
	if memory <= 0 {
		memory = machineMemory()
	}
	if most := descriptorLimit(); descriptors <= 0 || descriptors > most {
		descriptors = most
	}
	debug.SetMemoryLimit(max(memory-memory/reserveFraction-programBytes, programBytes))
	return intake.NewAccount(memory, descriptors)
}

// machineMemory returns the memory of the machine in bytes.
func machineMemory() int64 {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return fallbackMemory
	}
	total := info.Totalram * uint64(info.Unit)
	if total == 0 || total > math.MaxInt64 {
		return fallbackMemory
	}
	return int64(total)
}

// descriptorLimit returns how many descriptors the process may open.
func descriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur == 0 {
		return fallbackDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}

package daemon

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"github.com/crocusway/crocusway/internal/intake"
	"github.com/crocusway/crocusway/internal/peer"
)

const (
	// programBytes is what the program text and its constants take, which the limit of the
	// runtime does not cover.
	programBytes = 16 << 20
	// reserveFraction is the reciprocal of the part of the memory that the runtime leaves to
	// what it can't collect in time. The garbage collector runs more often near its limit.
	reserveFraction = 4
	// pendingFraction is the reciprocal of the part of the descriptors that connections without
	// a complete handshake may take.
	pendingFraction = 8
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
	debug.SetMemoryLimit(max(memory-memory/reserveFraction-programBytes, programBytes))
	return intake.NewAccount(memory, usableDescriptors(descriptors))
}

// usableDescriptors returns how many of these descriptors the process may open, 0: all that
// the machine allows.
func usableDescriptors(descriptors int) int {
	most := descriptorLimit()
	if descriptors <= 0 {
		return most
	}
	return min(descriptors, most)
}

// maxPendingLinks bounds the connections on the address for links that have not proved to be
// those of a daemon, in a process with these descriptors, 0: those of the machine.
func maxPendingLinks(descriptors int) int {
	return min(max(usableDescriptors(descriptors)/pendingFraction, 1), peer.DefaultMaxPending)
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

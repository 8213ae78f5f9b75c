package callerguard

import (
	"syscall"

	"fuchsiabridge.example/common/machinereader"
)

const (
	// machineShare divides the machine's memory by default: a third is for callers, the rest for the process's own work and the system.
	machineShare = 3
	// heapFactor is the size that Go's heap reaches, relative to what is live in it, before garbage is collected (GOGC=100).
	heapFactor = 2
	// descriptorShare divides the descriptors among callers, other nodes, and the connections that the process opens itself.
	descriptorShare = 3
	// fallbackDescriptors applies where the system does not say how many the process may open.
	fallbackDescriptors = 1024
	// minMemoryBytes is the least default for callers: enough to read a body of 8 MiB, the limit while no configuration is known.
	minMemoryBytes = 48 << 20
	bytesPerMB     = 1 << 20
)

// LimitsOf returns the limits for the given settings. A setting of 0 stands for a share of what the machine has.
func LimitsOf(memoryMB, connections int) Limits {
	memory := int64(memoryMB) * bytesPerMB
	if memory == 0 {
		memory = max(minMemoryBytes, machinereader.MemoryBytes()/machineShare)
	}
	if connections == 0 {
		connections = descriptors() / descriptorShare
	}
	return Limits{LiveBytes: memory / heapFactor, Connections: connections}
}

// descriptors returns the number of descriptors that the process may open.
func descriptors() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return fallbackDescriptors
	}
	return int(min(limit.Cur, 1<<30))
}

package callerguard

import (
	"os"
	"strconv"
	"strings"
	"syscall"
)

const (
	// machineShare divides the machine's memory by default: a third is for callers, the rest for the process's own work and the system.
	machineShare = 3
	// heapFactor is the size that Go's heap reaches, relative to what is live in it, before garbage is collected (GOGC=100).
	heapFactor = 2
	// descriptorShare divides the descriptors among callers, other nodes, and the connections that the process opens itself.
	descriptorShare = 3
	// The fallbacks apply where the system does not say what the machine has.
	fallbackMemoryBytes = 128 << 20
	fallbackDescriptors = 1024
	// minMemoryBytes is the least default for callers: enough to read a body of 8 MiB, the limit while no configuration is known.
	minMemoryBytes = 48 << 20
	bytesPerMB     = 1 << 20
	bytesPerKB     = 1 << 10

	memoryFile = "/proc/meminfo"
	cgroupFile = "/sys/fs/cgroup/memory.max"
)

// LimitsOf returns the limits for the given settings. A setting of 0 stands for a share of what the machine has.
func LimitsOf(memoryMB, connections int) Limits {
	memory := int64(memoryMB) * bytesPerMB
	if memory == 0 {
		memory = max(minMemoryBytes, machineMemory()/machineShare)
	}
	if connections == 0 {
		connections = descriptors() / descriptorShare
	}
	return Limits{LiveBytes: memory / heapFactor, Connections: connections}
}

// machineMemory returns the memory of the machine, or of the process's control group if that has less.
func machineMemory() int64 {
	memory := int64(fallbackMemoryBytes)
	if text, err := os.ReadFile(memoryFile); err == nil {
		memory = totalMemory(string(text), memory)
	}
	text, err := os.ReadFile(cgroupFile)
	if err != nil {
		return memory
	}
	limit, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
	if err != nil || limit <= 0 {
		return memory
	}
	return min(memory, limit)
}

// totalMemory returns the total of the system's list of memory, or the fallback if the list has none.
func totalMemory(list string, fallback int64) int64 {
	for line := range strings.Lines(list) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "MemTotal:" {
			continue
		}
		if kilobytes, err := strconv.ParseInt(fields[1], 10, 64); err == nil && kilobytes > 0 {
			return kilobytes * bytesPerKB
		}
	}
	return fallback
}

// descriptors returns the number of descriptors that the process may open.
func descriptors() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return fallbackDescriptors
	}
	return int(min(limit.Cur, 1<<30))
}

// Package machinereader reads how much memory the machine has for the process.
package machinereader

import (
	"os"
	"strconv"
	"strings"
)

const (
	// fallbackBytes applies where the system does not say what the machine has.
	fallbackBytes = 128 << 20
	bytesPerKB    = 1 << 10

	memoryFile = "/proc/meminfo"
	cgroupFile = "/sys/fs/cgroup/memory.max"
)

// MemoryBytes returns the memory of the machine, or of the process's control group if that has less.
func MemoryBytes() int64 {
	memory := int64(fallbackBytes)
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

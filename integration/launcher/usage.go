package launcher

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"testing"
)

var peakPattern = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// PeakMemoryMB returns the most resident memory that the process has had, in MB.
func (p *Process) PeakMemoryMB(t testing.TB) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	found := peakPattern.FindSubmatch(status)
	if found == nil {
		t.Fatal("the process has no peak of its memory")
	}
	kilobytes, err := strconv.Atoi(string(found[1]))
	if err != nil {
		t.Fatal(err)
	}
	return kilobytes >> 10
}

// Descriptors returns the number of the process's open descriptors.
func (p *Process) Descriptors(t testing.TB) int {
	t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(open)
}

// Command fbload is a load generator for a fleet of fuchsiabridge. It reports the outcome, correctness and
// latency of the requests.
package main

import (
	"os"

	"fuchsiabridge.example/fbload/internal/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}

// Command fbstandin runs stand-ins for the systems around fuchsiabridge, for tests and trials: a model engine, a
// plain service (one without model layers), the platform, and a fault-injecting TCP proxy.
package main

import (
	"os"

	"fuchsiabridge.example/fbstandin/internal/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:]))
}

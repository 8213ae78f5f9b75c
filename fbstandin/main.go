// Command fbstandin runs small stand-ins for what fuchsiabridge serves: a model
// engine, a plain service, the platform, and a fault-injecting TCP proxy.
package main

import (
	"os"

	"fuchsiabridge.example/fbstandin/internal/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:]))
}

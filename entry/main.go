// Command entry is the node of fuchsiabridge: every VM of the system runs the same one.
package main

import (
	"os"

	"fuchsiabridge.example/entry/internal/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:]))
}

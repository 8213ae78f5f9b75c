// Command entry is the fuchsiabridge node. Every VM of the system runs one.
package main

import (
	"os"

	"fuchsiabridge.example/entry/internal/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:]))
}

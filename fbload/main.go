// Command fbload loads a fleet of fuchsiabridge and reports how each request ended.
package main

import (
	"os"

	"fuchsiabridge.example/fbload/internal/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}

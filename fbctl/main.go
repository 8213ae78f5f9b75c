// Command fbctl is the command line tool for operators of fuchsiabridge.
package main

import (
	"os"

	"fuchsiabridge.example/fbctl/internal/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}

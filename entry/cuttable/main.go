// Command cuttable is the node for tests: the same as entry, with a network to its targets that can be cut. Its first argument is the
// address that takes calls to do so, host:port; the others are those of entry.
package main

import (
	"fmt"
	"os"

	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/entry/internal/commander"
	"fuchsiabridge.example/entry/internal/networkfaker"
)

const exitUsage = 2

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: cuttable CONTROL-ADDRESS ARGUMENTS-OF-ENTRY")
		os.Exit(exitUsage)
	}
	network := networkfaker.NewNetwork()
	go func() {
		err := fasthttp.ListenAndServe(os.Args[1], network.Handle)
		fmt.Fprintln(os.Stderr, "cuttable:", err)
		os.Exit(1)
	}()
	os.Exit(commander.RunWith(os.Args[2:], network))
}

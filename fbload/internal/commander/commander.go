// Package commander is the command line of fbload.
package commander

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/optionparser"
	"fuchsiabridge.example/fbload/internal/demonstrator"
)

const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2

	demoTimeout = 45 * time.Second
)

const usage = `usage: fbload demo [flags]

  demo   run the demonstration against a running fleet; ends 0 only when all held
`

func options() []optionparser.Option {
	return []optionparser.Option{
		{Name: "nodes", Usage: "the nodes, host:port by comma; at least two", Check: optionparser.IsPresent},
		{Name: "key", Usage: "a client account's bearer key", Check: optionparser.IsPresent},
		{Name: "operator-key", Usage: "an operator's bearer key", Check: optionparser.IsPresent},
		{Name: "ledgers", Usage: "folder of the stand-ins' ledgers", Check: optionparser.IsPresent},
	}
}

// Run runs the command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 || args[0] != "demo" {
		fmt.Fprint(stderr, usage)
		return exitUsage
	}
	values, _, err := optionparser.Parse("fbload demo", options(), args[1:])
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	err = demonstrator.Run(ctx, demonstrator.Config{
		Nodes: strings.Split(values.Text("nodes"), ","), Key: values.Text("key"),
		OperatorKey: values.Text("operator-key"), Ledgers: values.Text("ledgers"),
	}, stdout)
	if err != nil {
		fmt.Fprintln(stderr, "fbload demo:", err)
		return exitError
	}
	return exitOK
}

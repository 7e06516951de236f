// Command harrierramp runs a delivery node, a list server, or a tool for operators. 'harrierramp help' lists its
// commands.
package main

import (
	"os"

	"harrierramp/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }

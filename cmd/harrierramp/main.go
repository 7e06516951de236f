// Command harrierramp is a delivery node and what belongs to it: 'harrierramp help' lists its commands.
package main

import (
	"os"

	"harrierramp/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }

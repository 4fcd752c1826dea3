// Command egretroad runs the database proxy and provides its operators' commands.
// Package cli implements them.
package main

import (
	"os"

	"egretroad/internal/cli"
)

func main() { os.Exit(cli.Main()) }

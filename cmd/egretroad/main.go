// Command egretroad is the database proxy and its operators' client.
package main

import (
	"os"

	"egretroad/internal/cli"
)

func main() { os.Exit(cli.Main()) }

package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"egretroad/internal/explain"
)

// NoLinesError reports an ID that the logs do not contain.
type NoLinesError struct{ ID string }

func (e *NoLinesError) Error() string {
	return "no line of the logs names " + e.ID + "; at high load only part of the successes is logged"
}

func newExplain(e *env) *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Show the way of a request in the logs of several VMs, and why it ended as it did",
		Long: `Reads the logs of several VMs (standard input without files), prints the lines of
the request, session or server with the given ID, those of a request in the order of
its attempts, and says in one sentence why the request ended as it did.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return runExplain(e, cmd.InOrStdin(), args[0], args[1:])
		},
	}
}

func runExplain(e *env, in io.Reader, id string, files []string) error {
	inputs := []io.Reader{in}
	if len(files) > 0 {
		inputs = nil
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }() // only read from
		inputs = append(inputs, file)
	}
	lines, err := explain.Read(inputs, id)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return &NoLinesError{ID: id}
	}
	lines = explain.Order(lines)
	for _, l := range lines {
		if _, err := fmt.Fprintln(e.out, l.Text); err != nil {
			return err
		}
	}
	if cause := explain.Cause(lines); cause != "" {
		_, err = fmt.Fprintln(e.out, cause)
	}
	return err
}

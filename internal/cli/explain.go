package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"egretroad/internal/explain"
)

// NoMatchingLineError reports an ID that does not occur in the logs.
type NoMatchingLineError struct{ ID string }

func (e *NoMatchingLineError) Error() string {
	return "no log line contains the ID " + e.ID + "; under high load, only some of the successful requests are logged"
}

func newExplainCommand(e *env) *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Trace a request through the logs of several VMs and explain its outcome",
		Long: `Reads the logs of several VMs (standard input if no file is given) and prints the lines
of the request, session or server with the given ID. The lines of a request are ordered
by attempt and followed by one sentence that explains the request's outcome.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return runExplain(e, cmd.InOrStdin(), args[0], args[1:])
		},
	}
}

func runExplain(e *env, in io.Reader, id string, files []string) error {
	logs := []io.Reader{in}
	if len(files) > 0 {
		logs = nil
	}
	for _, path := range files {
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }() // opened read-only
		logs = append(logs, file)
	}
	lines, err := explain.Read(logs, id)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return &NoMatchingLineError{ID: id}
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

// Package cli implements the commands of the egretroad program: the proxy (serve,
// node), the operators' commands (catalogue, server, status, dump, explain) and the
// demonstration deployment (demo). It parses flags, prints results as text or JSON
// and maps errors to exit codes; the work is done in the packages that it calls.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// env holds the outputs and the output format that all commands share.
type env struct {
	out            io.Writer
	errOut         io.Writer
	format         string // outputText or outputJSON
	commandStarted bool   // arguments are parsed and the command's RunE is called
}

// Output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

// Main runs the program with the process's arguments and returns its exit code. An
// interrupt or SIGTERM cancels the command's context.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

// Run runs the program with the given arguments and outputs, and returns its exit
// code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	e := &env{out: out, errOut: errOut}
	root := newRootCommand(e)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	if !e.commandStarted {
		err = asUsageError(err)
	}
	e.printError(err)
	return exitCode(err)
}

func newRootCommand(e *env) *cobra.Command {
	root := &cobra.Command{
		Use:   "egretroad",
		Short: "A database proxy with session consistency",
		Long: `egretroad is a proxy for PostgreSQL-compatible database groups. Callers read their
own writes on any proxy, urgent work is scheduled first, and an overload of one kind
of work does not starve the others. Operators edit the catalogue of kinds of work and
mark backend servers as joining or leaving.

Exit codes:
  0  success
  1  failure
  2  invalid usage, settings or input
  3  conflict: the object was changed concurrently
  4  the platform or a proxy is unreachable; try again
  5  the change was accepted, but is not yet in force on every proxy`,
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if e.format != outputText && e.format != outputJSON {
				return &UsageError{Detail: fmt.Sprintf("--output is %q, want text or json", e.format)}
			}
			e.commandStarted = true
			return nil
		},
	}
	root.PersistentFlags().StringVar(&e.format, "output", outputText, "output format: text or json")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return &UsageError{Detail: err.Error()}
	})
	root.AddCommand(
		newServeCommand(e), newNodeCommand(e), newExplainCommand(e), newCheckConfigCommand(e), newVersionCommand(e), newDumpCommand(e), newDemoCommand(e),
		newCatalogueCommand(e), newServerCommand(e), newStatusCommand(e),
	)
	return root
}

// UsageError reports invalid arguments or flags.
type UsageError struct{ Detail string }

func (e *UsageError) Error() string {
	return e.Detail + "\nrun the command with --help for usage"
}

// asUsageError converts untyped errors of cobra, such as an unknown command, to
// *UsageError.
func asUsageError(err error) error {
	if isA[*UsageError](err) {
		return err
	}
	return &UsageError{Detail: err.Error()}
}

// exactArgs requires exactly the named arguments.
func exactArgs(names ...string) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) == len(names) {
			return nil
		}
		return &UsageError{Detail: fmt.Sprintf("%s takes %d arguments %v, got %d", cmd.CommandPath(), len(names), names, len(args))}
	}
}

// splitErrors returns the errors joined by errors.Join, or err alone.
func splitErrors(err error) []error {
	var multi interface{ Unwrap() []error }
	if errors.As(err, &multi) {
		return multi.Unwrap()
	}
	return []error{err}
}

// Package cli holds the commands of the egretroad program: the proxy itself,
// the operators' client and the demonstration deployment.
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

// env is what the commands share.
type env struct {
	out    io.Writer
	errOut io.Writer
	format string // outputText or outputJSON
	began  bool   // a command has begun to run
}

// Forms of output.
const (
	outputText = "text"
	outputJSON = "json"
)

// Main runs the program with the process's arguments and returns its exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

// Run runs the program and returns its exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	e := &env{out: out, errOut: errOut}
	root := newRoot(e)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	if !e.began {
		err = asUsage(err)
	}
	e.printError(err)
	return exitCode(err)
}

func newRoot(e *env) *cobra.Command {
	root := &cobra.Command{
		Use:   "egretroad",
		Short: "A database proxy with session consistency",
		Long: `egretroad is a proxy for PostgreSQL-compatible database groups: callers read
their own writes on any proxy, urgent work goes first, and no flood silences the
rest. Operators edit the catalogue and mark backend servers joining or leaving.

Exit codes:
  0  done
  1  failed
  2  invalid use, settings or input
  3  conflict: somebody else changed the object first
  4  the platform or a proxy cannot be reached; try again
  5  the change was accepted, but is not in force everywhere yet`,
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if e.format != outputText && e.format != outputJSON {
				return &UsageError{Detail: fmt.Sprintf("--output is %q, want text or json", e.format)}
			}
			e.began = true
			return nil
		},
	}
	root.PersistentFlags().StringVar(&e.format, "output", outputText, "form of the output: text or json")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return &UsageError{Detail: err.Error()}
	})
	root.AddCommand(
		newServe(e), newNode(e), newExplain(e), newCheckConfig(e), newVersion(e), newDump(e), newDemo(e),
		newCatalogue(e), newServer(e), newStatus(e),
	)
	return root
}

// UsageError reports arguments that the program does not understand.
type UsageError struct{ Detail string }

func (e *UsageError) Error() string {
	return e.Detail + "\nrun the command with --help to see its use"
}

// asUsage gives errors of cobra, such as an unknown command, their type.
func asUsage(err error) error {
	if isA[*UsageError](err) {
		return err
	}
	return &UsageError{Detail: err.Error()}
}

// exactArgs checks the number of arguments and names them in the error.
func exactArgs(names ...string) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) == len(names) {
			return nil
		}
		return &UsageError{Detail: fmt.Sprintf("%s takes %d arguments %v, got %d", cmd.CommandPath(), len(names), names, len(args))}
	}
}

// joined returns the parts of an error made by errors.Join.
func joined(err error) []error {
	var many interface{ Unwrap() []error }
	if errors.As(err, &many) {
		return many.Unwrap()
	}
	return []error{err}
}

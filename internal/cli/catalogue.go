package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"egretroad/internal/catalogue"
	"egretroad/internal/operate"
	"egretroad/internal/platform"
)

// maxInputBytes bounds a file of catalogue entries.
const maxInputBytes = 4 << 20

// InputFileError reports a file of entries that cannot be read.
type InputFileError struct {
	File  string
	Cause error
}

func (e *InputFileError) Error() string { return fmt.Sprintf("cannot read %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *InputFileError) Unwrap() error { return e.Cause }

// ExitCode implements the exit code of invalid input.
func (e *InputFileError) ExitCode() int { return ExitInvalid }

func newCatalogue(e *env) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "catalogue",
		Short: "List and edit the catalogue of kinds of work",
	}
	cmd.AddCommand(newCatalogueList(e), newCatalogueGet(e), newCatalogueApply(e), newCatalogueDelete(e), newCatalogueHistory(e))
	return cmd
}

func newCatalogueList(e *env) *cobra.Command {
	var c client
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List all entries",
		Args:  exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.with(cmd, func(ctx context.Context, o *operate.Operator) error {
				items, err := o.List(ctx)
				if err != nil {
					return err
				}
				return e.printTable(items, []string{"NAME", "DATABASE", "KIND", "OWNER", "RANK", "ACCESS", "FLOOR", "DEADLINE", "VERSION", "FAULT"}, entryRows(items))
			})
		},
	}
	c.addFlags(cmd)
	return cmd
}

func entryRows(items []operate.Item) [][]string {
	rows := make([][]string, 0, len(items))
	for _, i := range items {
		n := i.Entry
		rows = append(rows, []string{
			n.Name, n.Database, n.Kind, n.Owner, strconv.Itoa(int(n.Rank)), string(n.Access),
			fmt.Sprintf("%d%%", n.FloorPercent), n.Deadline.Duration().String(), strconv.FormatUint(i.Version, 10), i.Invalid,
		})
	}
	return rows
}

func newCatalogueGet(e *env) *cobra.Command {
	var c client
	cmd := &cobra.Command{
		Use:   "get NAME",
		Short: "Print an entry in the form that apply takes",
		Long: `Prints an entry with its version, in the form that apply takes. An apply of the
output succeeds only if nobody has changed the entry in between.`,
		Args: exactArgs("NAME"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.with(cmd, func(ctx context.Context, o *operate.Operator) error {
				item, err := o.Get(ctx, args[0])
				if err != nil {
					return err
				}
				return e.printJSON(item.Input())
			})
		},
	}
	c.addFlags(cmd)
	return cmd
}

func newCatalogueApply(e *env) *cobra.Command {
	var c client
	var w waiter
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Create or change entries",
		Long: `Creates or changes the entries in FILE: JSON with comments, one entry or an array
of entries; "-" is standard input. Every entry is checked before anything is
changed. With a "version" field, as get prints it, an entry is changed only if
nobody else changed it since; the error then shows both changes.`,
		Args: exactArgs("FILE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			inputs, err := readEntries(args[0])
			if err != nil {
				return err
			}
			return c.with(cmd, func(ctx context.Context, o *operate.Operator) error {
				return applyAll(ctx, cmd, e, o, &w, inputs)
			})
		},
	}
	c.addFlags(cmd)
	w.addFlags(cmd)
	return cmd
}

func readEntries(file string) ([]operate.Input, error) {
	in := io.Reader(os.Stdin)
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, &InputFileError{File: file, Cause: err}
		}
		defer func() { _ = f.Close() }() // only read from
		in = f
	}
	text, err := io.ReadAll(io.LimitReader(in, maxInputBytes))
	if err != nil {
		return nil, &InputFileError{File: file, Cause: err}
	}
	return operate.ParseEntries(text)
}

// applyAll applies the entries in order and stops at the first error.
func applyAll(ctx context.Context, cmd *cobra.Command, e *env, o *operate.Operator, w *waiter, inputs []operate.Input) error {
	for _, in := range inputs {
		result, err := o.Apply(ctx, in)
		if err != nil {
			return err
		}
		if err := printResult(e, result); err != nil {
			return err
		}
		if err := w.waitFor(cmd, e, o, platform.KindCatalogue, result.Name, result.Version); err != nil {
			return err
		}
	}
	return nil
}

func printResult(e *env, r operate.Result) error {
	if e.format == outputJSON {
		return e.printJSON(r)
	}
	verb := "applied"
	if r.Deleted {
		verb = "deleted"
	} else if r.Unchanged {
		verb = "unchanged"
	}
	_, _ = fmt.Fprintf(e.out, "%s %s at version %d\n", verb, r.Name, r.Version) // the next write reports errors
	for _, change := range r.Changes {
		if _, err := fmt.Fprintf(e.out, "  %s\n", change); err != nil {
			return err
		}
	}
	return nil
}

func newCatalogueDelete(e *env) *cobra.Command {
	var c client
	var w waiter
	cmd := &cobra.Command{
		Use:   "delete NAME",
		Short: "Delete an entry",
		Args:  exactArgs("NAME"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.with(cmd, func(ctx context.Context, o *operate.Operator) error {
				result, err := o.Delete(ctx, args[0], nil)
				if err != nil {
					return err
				}
				if err := printResult(e, result); err != nil {
					return err
				}
				return w.waitFor(cmd, e, o, platform.KindCatalogue, result.Name, result.Version)
			})
		},
	}
	c.addFlags(cmd)
	w.addFlags(cmd)
	return cmd
}

func newCatalogueHistory(e *env) *cobra.Command {
	var c client
	cmd := &cobra.Command{
		Use:   "history NAME",
		Short: "Show the changes of an entry, newest last",
		Args:  exactArgs("NAME"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.with(cmd, func(ctx context.Context, o *operate.Operator) error {
				changes, err := o.History(ctx, args[0])
				if err != nil {
					return err
				}
				if e.format == outputJSON {
					return e.printJSON(changes)
				}
				return printHistory(e, changes)
			})
		},
	}
	c.addFlags(cmd)
	return cmd
}

// printHistory prints each change with its difference from the one before.
func printHistory(e *env, changes []operate.Change) error {
	var before *catalogue.Entry
	for _, c := range changes {
		if _, err := fmt.Fprintf(e.out, "%s  %s  version %d  %s\n", c.At.Format(time.RFC3339), c.By, c.Version, c.Outcome); err != nil {
			return err
		}
		for _, d := range operate.Diff(before, c.Entry) {
			if _, err := fmt.Fprintf(e.out, "  %s\n", d); err != nil {
				return err
			}
		}
		before = c.Entry
	}
	return nil
}

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

// maxInputBytes limits the size of a file of catalogue entries.
const maxInputBytes = 4 << 20

// InputFileError reports that a file of entries cannot be read.
type InputFileError struct {
	File  string
	Cause error
}

func (e *InputFileError) Error() string { return fmt.Sprintf("cannot read %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *InputFileError) Unwrap() error { return e.Cause }

// ExitCode returns ExitInvalid; see exitCode.
func (e *InputFileError) ExitCode() int { return ExitInvalid }

func newCatalogueCommand(e *env) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "catalogue",
		Short: "List and edit the catalogue of kinds of work",
	}
	cmd.AddCommand(newCatalogueListCommand(e), newCatalogueGetCommand(e), newCatalogueApplyCommand(e), newCatalogueDeleteCommand(e), newCatalogueHistoryCommand(e))
	return cmd
}

func newCatalogueListCommand(e *env) *cobra.Command {
	var c platformClient
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List all entries",
		Args:  exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.withOperator(cmd, func(ctx context.Context, o *operate.Operator) error {
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
	for _, item := range items {
		entry := item.Entry
		rows = append(rows, []string{
			entry.Name, entry.Database, entry.Kind, entry.Owner, strconv.Itoa(int(entry.Rank)), string(entry.Access),
			fmt.Sprintf("%d%%", entry.FloorPercent), entry.Deadline.Duration().String(), strconv.FormatUint(item.Version, 10), item.Invalid,
		})
	}
	return rows
}

func newCatalogueGetCommand(e *env) *cobra.Command {
	var c platformClient
	cmd := &cobra.Command{
		Use:   "get NAME",
		Short: "Print an entry as input for apply",
		Long: `Prints an entry with its version, as input for apply. Applying the output succeeds
only if the entry has not changed in between.`,
		Args: exactArgs("NAME"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.withOperator(cmd, func(ctx context.Context, o *operate.Operator) error {
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

func newCatalogueApplyCommand(e *env) *cobra.Command {
	var c platformClient
	var w waitOptions
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Create or change entries",
		Long: `Creates or changes the entries in FILE. The file is JSON with comments and holds one
entry or an array of entries; "-" is standard input. All entries are validated before
any is changed. If an entry has a "version" field, as printed by get, it is changed
only if it is still at that version; otherwise, the error shows both changes.`,
		Args: exactArgs("FILE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			inputs, err := readEntries(args[0])
			if err != nil {
				return err
			}
			return c.withOperator(cmd, func(ctx context.Context, o *operate.Operator) error {
				return applyAll(ctx, cmd, e, o, &w, inputs)
			})
		},
	}
	c.addFlags(cmd)
	w.addFlags(cmd)
	return cmd
}

func readEntries(file string) ([]operate.Input, error) {
	reader := io.Reader(os.Stdin)
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, &InputFileError{File: file, Cause: err}
		}
		defer func() { _ = f.Close() }() // opened read-only
		reader = f
	}
	text, err := io.ReadAll(io.LimitReader(reader, maxInputBytes))
	if err != nil {
		return nil, &InputFileError{File: file, Cause: err}
	}
	return operate.ParseEntries(text)
}

// applyAll applies the entries in order and stops at the first error, which may
// leave the earlier entries applied.
func applyAll(ctx context.Context, cmd *cobra.Command, e *env, o *operate.Operator, w *waitOptions, inputs []operate.Input) error {
	for _, input := range inputs {
		result, err := o.Apply(ctx, input)
		if err != nil {
			return err
		}
		if err := printResult(e, result); err != nil {
			return err
		}
		if err := w.waitInForce(cmd, e, o, platform.KindCatalogue, result.Name, result.Version); err != nil {
			return err
		}
	}
	return nil
}

func printResult(e *env, result operate.Result) error {
	if e.format == outputJSON {
		return e.printJSON(result)
	}
	verb := "applied"
	if result.Deleted {
		verb = "deleted"
	} else if result.Unchanged {
		verb = "unchanged"
	}
	_, _ = fmt.Fprintf(e.out, "%s %s at version %d\n", verb, result.Name, result.Version) // a later write reports the error
	for _, change := range result.Changes {
		if _, err := fmt.Fprintf(e.out, "  %s\n", change); err != nil {
			return err
		}
	}
	return nil
}

func newCatalogueDeleteCommand(e *env) *cobra.Command {
	var c platformClient
	var w waitOptions
	cmd := &cobra.Command{
		Use:   "delete NAME",
		Short: "Delete an entry",
		Args:  exactArgs("NAME"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.withOperator(cmd, func(ctx context.Context, o *operate.Operator) error {
				result, err := o.Delete(ctx, args[0], nil)
				if err != nil {
					return err
				}
				if err := printResult(e, result); err != nil {
					return err
				}
				return w.waitInForce(cmd, e, o, platform.KindCatalogue, result.Name, result.Version)
			})
		},
	}
	c.addFlags(cmd)
	w.addFlags(cmd)
	return cmd
}

func newCatalogueHistoryCommand(e *env) *cobra.Command {
	var c platformClient
	cmd := &cobra.Command{
		Use:   "history NAME",
		Short: "Show the changes of an entry, oldest first",
		Args:  exactArgs("NAME"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.withOperator(cmd, func(ctx context.Context, o *operate.Operator) error {
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

// printHistory prints each change with its difference from the previous one.
func printHistory(e *env, changes []operate.Change) error {
	var previous *catalogue.Entry
	for _, change := range changes {
		if _, err := fmt.Fprintf(e.out, "%s  %s  version %d  %s\n", change.At.Format(time.RFC3339), change.By, change.Version, change.Outcome); err != nil {
			return err
		}
		for _, fieldChange := range operate.Diff(previous, change.Entry) {
			if _, err := fmt.Fprintf(e.out, "  %s\n", fieldChange); err != nil {
				return err
			}
		}
		previous = change.Entry
	}
	return nil
}

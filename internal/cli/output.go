package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"text/tabwriter"

	"egretroad/internal/catalogue"
	"egretroad/internal/config"
	"egretroad/internal/demo"
	"egretroad/internal/operate"
	"egretroad/internal/platform"
	"egretroad/internal/standin/deployment"
)

// Exit codes of the program.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitInvalid     = 2
	ExitConflict    = 3
	ExitUnreachable = 4
	ExitNotInForce  = 5
)

// exitCode maps an error to an exit code: that of its ExitCode method, if it has one,
// else by type.
func exitCode(err error) int {
	var coded interface{ ExitCode() int }
	if errors.As(err, &coded) {
		return coded.ExitCode()
	}
	switch {
	case isA[*UsageError](err), isA[*config.SyntaxError](err), isA[*config.FieldError](err),
		isA[*config.ReadError](err), isA[*catalogue.FieldError](err), isA[*platform.RejectedError](err):
		return ExitInvalid
	case isA[*operate.InputError](err), isA[*demo.SizeError](err), isA[*deployment.UnknownDeploymentError](err), isA[*operate.NotFoundError](err), isA[*operate.StateError](err), isA[*operate.InvalidObjectError](err):
		return ExitInvalid
	case isA[*platform.ConflictError](err), isA[*operate.ConflictError](err):
		return ExitConflict
	case isA[*operate.NotInForceError](err):
		return ExitNotInForce
	case isA[*operate.UnknownOutcomeError](err), isA[*platform.UnavailableError](err), isA[*OperatorAddressError](err):
		return ExitUnreachable
	default:
		return ExitFailed
	}
}

// isA reports whether err's tree contains an error of type T.
func isA[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

// printError writes err to standard error, as text or as a JSON object.
func (e *env) printError(err error) {
	if e.format == outputJSON {
		var list []string
		for _, part := range splitErrors(err) {
			list = append(list, part.Error())
		}
		_ = json.NewEncoder(e.errOut).Encode(map[string]any{"errors": list, "exitCode": exitCode(err)}) // standard error is the last resort
		return
	}
	for _, part := range splitErrors(err) {
		_, _ = fmt.Fprintln(e.errOut, "egretroad:", part)
	}
}

// printJSON writes v as indented JSON.
func (e *env) printJSON(v any) error {
	enc := json.NewEncoder(e.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// printTable writes rows as a table, or v as JSON, depending on the output format.
func (e *env) printTable(v any, header []string, rows [][]string) error {
	if e.format == outputJSON {
		return e.printJSON(v)
	}
	w := tabwriter.NewWriter(e.out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.Join(header, "\t")) // Flush reports the error
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// printLine writes a formatted line, or v as JSON, depending on the output format.
func (e *env) printLine(v any, format string, args ...any) error {
	if e.format == outputJSON {
		return e.printJSON(v)
	}
	_, err := fmt.Fprintf(e.out, format+"\n", args...)
	return err
}

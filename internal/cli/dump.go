package cli

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/spf13/cobra"

	"egretroad/internal/operator"
)

// operatorTimeout bounds a request to a proxy's operator address.
const operatorTimeout = 5 * time.Second

// OperatorError reports an operator address that gave no usable answer.
type OperatorError struct {
	Address string
	Cause   error
	Status  int // HTTP status; 0: no answer
}

func (e *OperatorError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("operator address %s does not answer: %v; check operator.listen in the proxy's settings", e.Address, e.Cause)
	}
	return fmt.Sprintf("operator address %s answered status %d", e.Address, e.Status)
}

// Unwrap returns the cause.
func (e *OperatorError) Unwrap() error { return e.Cause }

func newDump(e *env) *cobra.Command {
	var address string
	var vars bool
	cmd := &cobra.Command{
		Use:   "dump --operator IP:PORT",
		Short: "Print the state of a proxy as JSON",
		Long: `Prints the state of every component of a proxy: the version in force and from
whom it came, homes, live VMs and why, leases, promotions, queues and sessions.
With --metrics it prints the counters and histograms instead.`,
		Args: exactArgs(),
		RunE: func(*cobra.Command, []string) error {
			if err := checkOperator(address); err != nil {
				return err
			}
			path := operator.PathDump
			if vars {
				path = operator.PathMetrics
			}
			return e.copyFrom(address, path)
		},
	}
	cmd.Flags().StringVar(&address, "operator", "", "operator address of the proxy")
	cmd.Flags().BoolVar(&vars, "metrics", false, "print metrics instead of the state")
	return cmd
}

// copyFrom prints the answer of an operator address.
func (e *env) copyFrom(address, path string) error {
	body, err := fetch(address, path)
	if err != nil {
		return err
	}
	_, err = e.out.Write(body)
	return err
}

// checkOperator checks the form of an operator address.
func checkOperator(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return &UsageError{Detail: fmt.Sprintf("--operator is %q, want an IP number and port", address)}
	}
	return nil
}

package cli

import (
	"context"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"egretroad/internal/operate"
	"egretroad/internal/platform"
	"egretroad/internal/topology"
)

func newServerCommand(e *env) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "server",
		Short: "List backend servers and mark them as joining or leaving",
	}
	cmd.AddCommand(newServerListCommand(e), newServerJoinCommand(e), newServerLeaveCommand(e), newServerRemoveCommand(e))
	return cmd
}

func newServerListCommand(e *env) *cobra.Command {
	var c platformClient
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List all backend servers",
		Args:  exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.withOperator(cmd, func(ctx context.Context, o *operate.Operator) error {
				servers, err := o.Servers(ctx)
				if err != nil {
					return err
				}
				return e.printTable(servers, []string{"SERVER", "DATABASE", "DATA CENTRE", "ADDRESS", "STATE", "ROLE", "TERM", "SLOTS", "CONNECTIONS"}, serverRows(servers))
			})
		},
	}
	c.addFlags(cmd)
	return cmd
}

func serverRows(servers []operate.ServerItem) [][]string {
	rows := make([][]string, 0, len(servers))
	for _, s := range servers {
		role := "replica"
		if s.Primary {
			role = "primary"
		}
		rows = append(rows, []string{
			s.ID, s.Database, s.DataCentre, s.Addr, string(s.State), role,
			strconv.FormatUint(s.Term, 10), strconv.Itoa(s.Slots), strconv.Itoa(s.MaxConnections),
		})
	}
	return rows
}

func newServerJoinCommand(e *env) *cobra.Command {
	var c platformClient
	var w waitOptions
	var database string
	var server topology.Server
	cmd := &cobra.Command{
		Use:   "join SERVER",
		Short: "Mark a backend server as joining",
		Long: `Marks a backend server as joining. To add a new server to a group, give --database,
--addr, --data-centre, --region, --slots and --connections. A server that was marked as
leaving needs only its name.`,
		Args: exactArgs("SERVER"),
		RunE: func(cmd *cobra.Command, args []string) error {
			server.ID = args[0]
			return c.withOperator(cmd, func(ctx context.Context, o *operate.Operator) error {
				result, err := joinServer(ctx, o, database, server)
				return printServerChange(cmd, e, o, &w, "joining", result, err)
			})
		},
	}
	c.addFlags(cmd)
	w.addFlags(cmd)
	cmd.Flags().StringVar(&database, "database", "", "database of a new server")
	cmd.Flags().StringVar(&server.Addr, "addr", "", "IP:PORT of a new server")
	cmd.Flags().StringVar(&server.DataCentre, "data-centre", "", "data centre of a new server")
	cmd.Flags().StringVar(&server.Region, "region", "", "region of a new server")
	cmd.Flags().IntVar(&server.Slots, "slots", 0, "concurrent statements of a new server")
	cmd.Flags().IntVar(&server.MaxConnections, "connections", 0, "maximum connections of a new server")
	return cmd
}

// joinServer adds a server to the group of a database; without a database, it
// reactivates an existing server.
func joinServer(ctx context.Context, o *operate.Operator, database string, s topology.Server) (operate.ServerResult, error) {
	if database == "" {
		return o.Activate(ctx, s.ID)
	}
	return o.Join(ctx, database, s)
}

func newServerLeaveCommand(e *env) *cobra.Command {
	var c platformClient
	var w waitOptions
	cmd := &cobra.Command{
		Use:   "leave SERVER",
		Short: "Mark a backend server as leaving",
		Long: `Marks a backend server as leaving: within a few seconds, it stops receiving new work;
work in progress completes. If the server is the primary, a replica is promoted first.`,
		Args: exactArgs("SERVER"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.withOperator(cmd, func(ctx context.Context, o *operate.Operator) error {
				result, err := o.Leave(ctx, args[0])
				return printServerChange(cmd, e, o, &w, "leaving", result, err)
			})
		},
	}
	c.addFlags(cmd)
	w.addFlags(cmd)
	return cmd
}

func newServerRemoveCommand(e *env) *cobra.Command {
	var c platformClient
	var w waitOptions
	cmd := &cobra.Command{
		Use:   "remove SERVER",
		Short: "Remove a leaving backend server from its group",
		Args:  exactArgs("SERVER"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.withOperator(cmd, func(ctx context.Context, o *operate.Operator) error {
				result, err := o.Remove(ctx, args[0])
				return printServerChange(cmd, e, o, &w, "removed", result, err)
			})
		},
	}
	c.addFlags(cmd)
	w.addFlags(cmd)
	return cmd
}

// printServerChange prints the result of a change to a server, and waits until it is
// in force if --wait is set.
func printServerChange(cmd *cobra.Command, e *env, o *operate.Operator, w *waitOptions, state string, result operate.ServerResult, err error) error {
	if err != nil {
		return err
	}
	suffix := ""
	if result.HandOver {
		suffix = "; it is the primary, so a replica is promoted first"
	}
	if result.Unchanged {
		suffix += "; no change was needed"
	}
	line := fmt.Sprintf("server %s of database %s is %s at version %d%s", result.Server, result.Database, state, result.Version, suffix)
	if err := e.printLine(result, "%s", line); err != nil {
		return err
	}
	return w.waitInForce(cmd, e, o, platform.KindGroup, result.Database, result.Version)
}

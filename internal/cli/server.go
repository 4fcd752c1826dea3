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

func newServer(e *env) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "server",
		Short: "List backend servers and mark them as joining or leaving",
	}
	cmd.AddCommand(newServerList(e), newServerJoin(e), newServerLeave(e), newServerRemove(e))
	return cmd
}

func newServerList(e *env) *cobra.Command {
	var c client
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List all backend servers",
		Args:  exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.with(cmd, func(ctx context.Context, o *operate.Operator) error {
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

func newServerJoin(e *env) *cobra.Command {
	var c client
	var w waiter
	var database string
	var s topology.Server
	cmd := &cobra.Command{
		Use:   "join SERVER",
		Short: "Mark a backend server as joining",
		Long: `Marks a backend server as joining. A server that its group does not contain yet
needs --database, --addr, --data-centre, --region, --slots and --connections; one
that was marked as leaving needs its name only.`,
		Args: exactArgs("SERVER"),
		RunE: func(cmd *cobra.Command, args []string) error {
			s.ID = args[0]
			return c.with(cmd, func(ctx context.Context, o *operate.Operator) error {
				result, err := join(ctx, o, database, s)
				return finishServer(cmd, e, o, &w, "joining", result, err)
			})
		},
	}
	c.addFlags(cmd)
	w.addFlags(cmd)
	cmd.Flags().StringVar(&database, "database", "", "database of a new server")
	cmd.Flags().StringVar(&s.Addr, "addr", "", "IP:PORT of a new server")
	cmd.Flags().StringVar(&s.DataCentre, "data-centre", "", "data centre of a new server")
	cmd.Flags().StringVar(&s.Region, "region", "", "region of a new server")
	cmd.Flags().IntVar(&s.Slots, "slots", 0, "statements at the same time of a new server")
	cmd.Flags().IntVar(&s.MaxConnections, "connections", 0, "connections of a new server")
	return cmd
}

// join adds a new server, or takes one back that was leaving.
func join(ctx context.Context, o *operate.Operator, database string, s topology.Server) (operate.ServerResult, error) {
	if database == "" {
		return o.Activate(ctx, s.ID)
	}
	return o.Join(ctx, database, s)
}

func newServerLeave(e *env) *cobra.Command {
	var c client
	var w waiter
	cmd := &cobra.Command{
		Use:   "leave SERVER",
		Short: "Mark a backend server as leaving",
		Long: `Marks a backend server as leaving: it gets no new work after a few seconds, and
work in progress ends. A leaving primary first hands over to a replica.`,
		Args: exactArgs("SERVER"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.with(cmd, func(ctx context.Context, o *operate.Operator) error {
				result, err := o.Leave(ctx, args[0])
				return finishServer(cmd, e, o, &w, "leaving", result, err)
			})
		},
	}
	c.addFlags(cmd)
	w.addFlags(cmd)
	return cmd
}

func newServerRemove(e *env) *cobra.Command {
	var c client
	var w waiter
	cmd := &cobra.Command{
		Use:   "remove SERVER",
		Short: "Remove a backend server that is leaving from its group",
		Args:  exactArgs("SERVER"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.with(cmd, func(ctx context.Context, o *operate.Operator) error {
				result, err := o.Remove(ctx, args[0])
				return finishServer(cmd, e, o, &w, "removed", result, err)
			})
		},
	}
	c.addFlags(cmd)
	w.addFlags(cmd)
	return cmd
}

// finishServer prints the result of a server's change and waits when asked to.
func finishServer(cmd *cobra.Command, e *env, o *operate.Operator, w *waiter, state string, r operate.ServerResult, err error) error {
	if err != nil {
		return err
	}
	note := ""
	if r.HandOver {
		note = "; it is the primary, which hands over to a replica first"
	}
	if r.Unchanged {
		note += "; it was so already"
	}
	line := fmt.Sprintf("server %s of database %s is %s at version %d%s", r.Server, r.Database, state, r.Version, note)
	if err := e.printLine(r, "%s", line); err != nil {
		return err
	}
	return w.waitFor(cmd, e, o, platform.KindGroup, r.Database, r.Version)
}

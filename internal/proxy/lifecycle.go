package proxy

import (
	"context"
	"errors"

	"go.uber.org/fx"
)

// registerLifecycle registers the start hooks in order; stop hooks run in reverse. A stop
// first announces that this VM leaves, so that other VMs take over its homes (the
// connections and queue of each backend server that it owns). It then closes callers,
// the lanes (multiplexed peer connections) of other proxies, control, leases, the peers
// and the operator server.
func (p *Proxy) registerLifecycle(lc fx.Lifecycle) {
	c := &p.components
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			c.Operator.SetReady(p.Ready)
			c.Operator.Start(c.Listeners.operator)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			defer c.Listeners.close()
			return ignoreContextError(c.Operator.Stop(ctx))
		},
	})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { c.Node.Start(c.Listeners.peers); return nil },
		OnStop:  func(context.Context) error { c.Node.Stop(); return nil },
	})
	lc.Append(fx.Hook{
		OnStop: func(ctx context.Context) error {
			if !p.killed.Load() {
				c.Leases.Stop(ctx)
			}
			return nil
		},
	})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { c.Control.Start(); return nil },
		OnStop:  func(ctx context.Context) error { return ignoreContextError(c.Control.Stop(ctx)) },
	})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { c.Homes.Start(); return nil },
		OnStop:  func(ctx context.Context) error { c.Homes.Stop(ctx); return nil },
	})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { go p.serveCallers(); return nil },
		OnStop:  p.drainCallers,
	})
}

// serveCallers accepts callers once control has loaded the catalogue and the groups.
func (p *Proxy) serveCallers() {
	select {
	case <-p.components.Control.Ready():
	case <-p.stopping:
		return
	}
	p.serving.Store(true)
	p.components.Log.Info("ready", "callers", p.CallerAddr(), "operator", p.OperatorAddr())
	if err := p.components.Gateway.Serve(p.components.Listeners.callers); err != nil && !p.killed.Load() {
		p.components.Log.Error("caller_listener_failed", "error", err)
	}
}

// drainCallers announces that this VM leaves, waits for requests in progress up to the
// drain time-out and closes callers' connections.
func (p *Proxy) drainCallers(ctx context.Context) error {
	close(p.stopping)
	p.serving.Store(false)
	if p.killed.Load() {
		return nil
	}
	p.components.Control.Leave()
	ctx, cancel := context.WithTimeout(ctx, p.settings.Shutdown.DrainTimeout.D())
	defer cancel()
	err := p.components.Gateway.Drain(ctx)
	p.components.Gateway.Close()
	if err != nil && ignoreContextError(err) == nil {
		p.drainCut.Store(true)
	}
	return ignoreContextError(err)
}

// ignoreContextError drops the error of a component whose stop ran out of time or was
// cancelled, so that the remaining components are still stopped.
func ignoreContextError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

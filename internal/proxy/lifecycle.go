package proxy

import (
	"context"
	"errors"

	"go.uber.org/fx"
)

// registerLifecycle orders start and stop. A stop goes the other way: the
// farewell, by which other VMs take the homes over; callers; lanes of other
// proxies; control; leases; and last the peers.
func (p *Proxy) registerLifecycle(lc fx.Lifecycle) {
	c := &p.parts
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			c.Operator.SetReady(p.Ready)
			c.Operator.Start(c.Listeners.operator)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			defer c.Listeners.close()
			return ignoreEnd(c.Operator.Stop(ctx))
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
		OnStop:  func(ctx context.Context) error { return ignoreEnd(c.Control.Stop(ctx)) },
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

// serveCallers accepts callers once control knows the catalogue and the groups.
func (p *Proxy) serveCallers() {
	select {
	case <-p.parts.Control.Ready():
	case <-p.stopping:
		return
	}
	p.serving.Store(true)
	p.parts.Log.Info("ready", "callers", p.CallerAddr(), "operator", p.OperatorAddr())
	if err := p.parts.Gateway.Serve(p.parts.Listeners.callers); err != nil && !p.killed.Load() {
		p.parts.Log.Error("caller_listener_failed", "error", err)
	}
}

// drainCallers says farewell, lets requests in progress end, then closes callers' connections.
func (p *Proxy) drainCallers(ctx context.Context) error {
	close(p.stopping)
	p.serving.Store(false)
	if p.killed.Load() {
		return nil
	}
	p.parts.Control.Leave()
	ctx, cancel := context.WithTimeout(ctx, p.settings.Shutdown.DrainTimeout.D())
	defer cancel()
	err := p.parts.Gateway.Drain(ctx)
	p.parts.Gateway.Close()
	if err != nil && ignoreEnd(err) == nil {
		p.cut.Store(true)
	}
	return ignoreEnd(err)
}

// ignoreEnd drops the error of a stop that ran out of time: the parts after it
// must be stopped all the same.
func ignoreEnd(err error) error {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

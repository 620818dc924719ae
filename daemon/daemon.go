package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"pomelodoor.example/pomelodoor/burn"
	"pomelodoor.example/pomelodoor/exchange"
	"pomelodoor.example/pomelodoor/heartbeat"
	"pomelodoor.example/pomelodoor/ingress"
	"pomelodoor.example/pomelodoor/membership"
	"pomelodoor.example/pomelodoor/memory"
	"pomelodoor.example/pomelodoor/node"
	"pomelodoor.example/pomelodoor/peer"
	"pomelodoor.example/pomelodoor/platform"
	"pomelodoor.example/pomelodoor/registry"
)

const (
	// tickInterval is the interval between two node.Tick messages.
	tickInterval = 50 * time.Millisecond
	// sweepInterval is how often idle connections are closed and the limit on
	// connections to the upstream is applied.
	sweepInterval = 5 * time.Second
	// idlePollInterval is how often Shutdown checks whether all work is done.
	idlePollInterval = 20 * time.Millisecond
	// finalMessagesWait is the time allowed for sending the last control
	// messages.
	finalMessagesWait = 100 * time.Millisecond
	// defaultUpstreamConns limits the connections to the upstream until a
	// document states the limit.
	defaultUpstreamConns = 64
)

// Overrides replaces parts of a daemon, mostly in tests and experiments. The zero
// value replaces nothing.
type Overrides struct {
	// Dial opens connections to the peer addresses of other daemons.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Choose selects upstreams instead of package balance.
	Choose node.Choose
	// LineLimiter limits the log lines about single requests; nil writes none.
	LineLimiter LineLimiter
}

// Daemon is a running pomelodoor daemon.
type Daemon struct {
	settings    Settings
	log         *log.Logger
	lineLimiter LineLimiter
	self        membership.Instance
	incarnation uint64
	started     time.Time

	mu   sync.Mutex
	node *node.Node

	calls *mailboxes
	runs  *mailboxes
	// reserved holds requests that have been decided on and whose bodies have
	// not arrived yet.
	reserved *reservations
	watch    *ingress.DisconnectWatcher
	guards   *guards

	upstream *exchange.Pool
	peers    *pools
	// registry is used by daemons that share what they read with others; store
	// is used in direct mode, where each daemon reads for itself.
	registry  *registry.Client
	store     *platform.Client
	storeCall *storeCall
	storeCopy *storeCopy
	lending   lending
	dialect   ingress.Dialect
	control   *peer.Endpoint

	callers  *ingress.Server
	fromPeer *ingress.Server
	admin    *ingress.Server
	ready    *ingress.Server

	// heartbeat tells when the process did not run.
	heartbeat *heartbeat.Monitor
	metrics   *metrics
	burnMu    sync.Mutex
	burn      *burn.Burn

	// leaving makes every response close its connection. An idle connection could
	// receive a request just as the ports close.
	leaving atomic.Bool
	// stopping is closed when the daemon begins to leave.
	stopping chan struct{}

	prober *prober
	ctx    context.Context
	stop   context.CancelFunc
	tasks  sync.WaitGroup
}

// Start opens the daemon's ports and starts its background tasks.
func Start(settings Settings, logger *log.Logger, overrides Overrides) (*Daemon, error) {
	if err := settings.Check(); err != nil {
		return nil, fmt.Errorf("check settings: %w", err)
	}
	d := newDaemon(settings, logger, overrides)
	if err := d.listen(); err != nil {
		d.close()
		return nil, fmt.Errorf("open ports: %w", err)
	}
	d.startTask(d.tick)
	d.startTask(d.sweep)
	d.startTask(d.endStalled)
	if settings.direct() {
		d.startTask(d.followStore)
	}
	d.logFor("daemon").Info("The daemon has started.", "instance", settings.Instance, "incarnation", d.incarnation,
		"service", settings.Service, "availabilityZone", settings.AvailabilityZone, "region", d.self.Region, "zones", len(settings.regions),
		"listen", settings.Listen, "peer", settings.Peer, "upstream", settings.Upstream, "bounds", settings.bounds.String())
	return d, nil
}

func newDaemon(settings Settings, logger *log.Logger, overrides Overrides) *Daemon {
	started := time.Now()
	self := membership.Instance{
		ID: settings.Instance, Service: settings.Service,
		AvailabilityZone: settings.AvailabilityZone, Region: settings.regionOf(settings.AvailabilityZone),
		Listen: settings.Listen, Peer: settings.Peer, Control: settings.Control,
	}
	// The wall clock in nanoseconds increases from one incarnation of an
	// instance to the next.
	incarnation := uint64(started.UnixNano())
	dialect := ingress.NativeDialect()
	if settings.direct() {
		// The store's list of upstreams identifies a daemon by its peer address.
		self.ID = settings.Peer
		dialect = platform.Dialect(settings.Service)
	}
	if overrides.Dial == nil && settings.Bind != "" {
		overrides.Dial = exchange.DialFrom(settings.Bind)
	}
	monitor := &heartbeat.Monitor{}
	monitor.Beat(started)
	ctx, stop := context.WithCancel(context.Background())
	d := &Daemon{
		settings: settings, log: logger, lineLimiter: overrides.LineLimiter, self: self, incarnation: incarnation, started: started,
		node: node.New(node.Config{
			Self: self, Incarnation: incarnation, Started: started, Rand: rand.Uint64, Choose: overrides.Choose,
			FleetSize: settings.FleetSize,
			Direct:    settings.direct(), AssumedActions: settings.assumedActions(), Retry: settings.bounds.retry(),
			ProbesPerSecond: settings.bounds.ProbesPerSecond, ColdBound: settings.bounds.cold(),
		}),
		calls: newMailboxes(), runs: newMailboxes(), reserved: newReservations(),
		heartbeat: monitor, watch: ingress.NewDisconnectWatcher(monitor),
		guards: newGuards(settings.MemoryMB, maxDescriptors()),
		upstream: exchange.New(exchange.Config{
			Address: settings.Upstream, MaxConns: defaultUpstreamConns,
			MatchesRequest: dialect.MatchesRequest, Attributable: dialect.Attributable, Abandoned: ingress.CallerLeft,
			MayBuffer: ingress.MayBuffer,
		}),
		peers:     newPools(overrides.Dial),
		registry:  registry.New(registry.Config{Addresses: settings.Platform}),
		dialect:   dialect,
		storeCall: newStoreCall(),
		prober:    &prober{},
		stopping:  make(chan struct{}),
		ctx:       ctx, stop: stop,
	}
	d.store = platform.New(platform.Config{Address: settings.Store, ReportOdd: d.logOddItem})
	d.burn = burn.New(burn.Config{Instance: settings.Instance, ServiceLevel: d.serviceLevel})
	d.metrics = newMetrics(d)
	d.storeCopy = newStoreCopy(d)
	return d
}

func (d *Daemon) listen() (err error) {
	s := d.settings
	if d.control, err = peer.Start(peer.Config{
		Listen: s.bindAddress(s.Control), From: s.Bind, Handle: d.receive, OnError: d.logControlClosed,
		MaxConns: d.guards.controlConns, MaxBufferedBytes: int(d.guards.account.SourceLimit() / controlBufferPart),
		Hold: d.guards.account.Open(memory.Daemons),
	}); err != nil {
		return fmt.Errorf("control: %w", err)
	}
	if d.fromPeer, err = ingress.Start(ingress.Config{
		Listen: s.bindAddress(s.Peer), Handle: d.servePeer, Expect: d.expectPeer, NoDate: true,
		Guard: d.guards.daemons, Overloaded: d.refusePeerOverloaded,
	}); err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	if d.admin, err = ingress.Start(ingress.Config{
		Listen: s.bindAddress(s.Admin), Handle: d.serveAdmin, Guard: d.guards.admin, Overloaded: d.refuseOverloaded,
	}); err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	if s.Ready != "" {
		if d.ready, err = ingress.Start(ingress.Config{
			Listen: s.bindAddress(s.Ready), Handle: d.serveReady, Guard: d.guards.ready, Overloaded: d.refuseOverloaded,
		}); err != nil {
			return fmt.Errorf("ready: %w", err)
		}
	}
	if d.callers, err = ingress.Start(ingress.Config{
		Listen: s.bindAddress(s.Listen), Handle: d.serveCaller, Guard: d.guards.callers, Overloaded: d.refuseOverloaded,
	}); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return nil
}

// update passes a message to the node and executes the commands it returns.
func (d *Daemon) update(m node.Message) []node.Command {
	d.mu.Lock()
	commands := d.node.Update(m, time.Now())
	d.mu.Unlock()
	d.execute(commands)
	return commands
}

// Shutdown announces that the daemon is leaving, stops admitting requests to the
// local upstream, closes the ports and waits for the requests in progress. Callers
// are served until the ports close, so that those that have not learned of the
// shutdown yet are not cut off. If requests keep arriving, the ports close early
// enough for the running ones to finish. A request whose deadline is later than the end
// of the stop is refused in its second half, and those still running at the end are
// answered as unknown.
func (d *Daemon) Shutdown() error {
	d.logFor("daemon").Info("The daemon is shutting down.")
	if !d.leaving.Swap(true) {
		close(d.stopping)
	}
	begun := time.Now()
	stopBy := begun.Add(d.settings.maxStop())
	answerBy := stopBy.Add(-answerReserve)
	d.update(node.Shutdown{AnswerBy: answerBy})
	lastAnswers := time.AfterFunc(time.Until(answerBy), d.watch.CancelAll)
	defer lastAnswers.Stop()
	for elapsed := time.Duration(0); elapsed < d.settings.portsCloseBy(); elapsed = time.Since(begun) {
		if elapsed >= d.settings.drainTime() {
			d.update(node.Closing{})
			if d.Idle() {
				break
			}
		}
		time.Sleep(idlePollInterval)
	}
	d.update(node.Closing{})
	ctx, cancel := context.WithDeadline(context.Background(), stopBy)
	defer cancel()
	d.sendFinalMessages()
	err := d.callers.Shutdown(ctx)
	if errPeer := d.fromPeer.Shutdown(ctx); err == nil {
		err = errPeer
	}
	d.close()
	if err != nil {
		return fmt.Errorf("shut down the servers: %w", err)
	}
	d.logFor("daemon").Info("The daemon has stopped.", "tookMs", ms(time.Since(begun)))
	return nil
}

// LogReloadIgnored logs a request to reload the settings, which has no effect.
func (d *Daemon) LogReloadIgnored() {
	d.logFor("daemon").Info("Ignored a reload request: settings are flags and change only with a restart.")
}

// sendFinalMessages sends the last control messages and waits for them to go
// out.
func (d *Daemon) sendFinalMessages() {
	d.mu.Lock()
	commands := d.node.FinalMessages(time.Now())
	d.mu.Unlock()
	d.execute(commands)
	time.Sleep(finalMessagesWait)
}

// Idle reports whether no request is in progress at this daemon.
func (d *Daemon) Idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Idle()
}

// close stops what Start has started, except the servers for callers and other
// daemons, which Shutdown stops first. It also runs after a failed Start.
func (d *Daemon) close() {
	d.stop()
	d.tasks.Wait()
	for _, server := range []*ingress.Server{d.admin, d.ready} {
		if server != nil {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_ = server.Shutdown(ctx)
			cancel()
		}
	}
	if d.control != nil {
		_ = d.control.Stop()
	}
	d.watch.Close()
	d.store.Close()
	d.upstream.Close()
	d.peers.close()
}

// startTask runs work in a goroutine that close waits for.
func (d *Daemon) startTask(work func()) {
	d.tasks.Add(1)
	go func() {
		defer d.tasks.Done()
		work()
	}()
}

func (d *Daemon) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.heartbeat.Beat(time.Now())
			d.update(node.Tick{})
			d.queryNeighbour(time.Now())
		case <-d.ctx.Done():
			return
		}
	}
}

func (d *Daemon) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.peers.sweep()
			d.applyConnLimit()
			d.upstream.Sweep()
		case <-d.ctx.Done():
			return
		}
	}
}

// applyConnLimit applies the document's limit on connections to the upstream.
func (d *Daemon) applyConnLimit() {
	d.mu.Lock()
	limit, ok := d.node.MaxConnections()
	d.mu.Unlock()
	if ok {
		d.upstream.SetMaxConns(limit)
	}
}

// logFor returns a logger with the prefix of a part of the daemon.
func (d *Daemon) logFor(name string) *log.Logger {
	return d.log.WithPrefix(name)
}

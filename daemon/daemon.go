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
	"pomelodoor.example/pomelodoor/ingress"
	"pomelodoor.example/pomelodoor/membership"
	"pomelodoor.example/pomelodoor/node"
	"pomelodoor.example/pomelodoor/peer"
	"pomelodoor.example/pomelodoor/platform"
	"pomelodoor.example/pomelodoor/registry"
)

const (
	// tickEvery is the period of node.Tick.
	tickEvery = 50 * time.Millisecond
	// sweepEvery is the period at which idle connections are closed.
	sweepEvery = 5 * time.Second
	// idleCheck is how often a shutdown asks whether all work is done.
	idleCheck = 20 * time.Millisecond
	// farewellTime lets the last control messages leave.
	farewellTime = 100 * time.Millisecond
	// upstreamConns bounds the connections to the upstream until a document
	// states the bound.
	upstreamConns = 64
)

// Seams replace parts of a daemon in tests and experiments. The zero value
// replaces nothing.
type Seams struct {
	// Dial opens connections to other daemons' peer addresses.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Choose picks upstreams in place of package balance.
	Choose node.Choose
	// Lines bounds the log lines on single requests; nil writes none.
	Lines Lines
}

// Daemon is one running pomelodoor process.
type Daemon struct {
	settings    Settings
	log         *log.Logger
	lines       Lines
	self        membership.Instance
	incarnation uint64
	started     time.Time

	mu   sync.Mutex
	node *node.Node

	calls *boxes
	runs  *boxes
	// reserved holds granted requests whose bodies are on their way.
	reserved *reservations
	watch    *ingress.Watch

	upstream *exchange.Pool
	peers    *pools
	// registry is read by daemons that spread what they read, store by those
	// that read it for themselves.
	registry  *registry.Client
	store     *platform.Client
	following *following
	held      *heldCopy
	lending   lending
	dialect   ingress.Dialect
	control   *peer.Endpoint

	callers  *ingress.Server
	fromPeer *ingress.Server
	admin    *ingress.Server
	ready    *ingress.Server

	metrics *metrics
	burnMu  sync.Mutex
	burn    *burn.Burn

	// leaving has every answer end its connection, so that none is open and
	// idle when the ports close: a request may arrive in that instant.
	leaving atomic.Bool

	probing *probing
	ctx     context.Context
	stop    context.CancelFunc
	loops   sync.WaitGroup
}

// Start opens the daemon's ports and begins to work.
func Start(settings Settings, logger *log.Logger, seams Seams) (*Daemon, error) {
	if err := settings.Check(); err != nil {
		return nil, fmt.Errorf("check settings: %w", err)
	}
	d := newDaemon(settings, logger, seams)
	if err := d.listen(); err != nil {
		d.close()
		return nil, fmt.Errorf("open ports: %w", err)
	}
	d.loop(d.tick)
	d.loop(d.sweep)
	if settings.direct() {
		d.loop(d.followStore)
	}
	d.part("daemon").Info("The daemon has started.", "instance", settings.Instance, "incarnation", d.incarnation,
		"service", settings.Service, "availabilityZone", settings.AvailabilityZone, "listen", settings.Listen, "peer", settings.Peer,
		"upstream", settings.Upstream, "bounds", settings.bounds.String())
	return d, nil
}

func newDaemon(settings Settings, logger *log.Logger, seams Seams) *Daemon {
	started := time.Now()
	self := membership.Instance{
		ID: settings.Instance, Service: settings.Service,
		AvailabilityZone: settings.AvailabilityZone, Region: settings.Region,
		Listen: settings.Listen, Peer: settings.Peer, Control: settings.Control,
	}
	// The wall clock in nanoseconds rises from one life of an instance to its
	// next.
	incarnation := uint64(started.UnixNano())
	dialect := ingress.Own()
	if settings.direct() {
		// The list names a daemon by where it takes requests of others.
		self.ID = settings.Peer
		dialect = platform.Dialect(settings.Service)
	}
	if seams.Dial == nil && settings.Bind != "" {
		seams.Dial = exchange.DialFrom(settings.Bind)
	}
	ctx, stop := context.WithCancel(context.Background())
	d := &Daemon{
		settings: settings, log: logger, lines: seams.Lines, self: self, incarnation: incarnation, started: started,
		node: node.New(node.Config{
			Self: self, Incarnation: incarnation, Started: started, Rand: rand.Uint64, Choose: seams.Choose,
			FleetSize: settings.FleetSize,
			Direct:    settings.direct(), Assumed: settings.assumed(), Retry: settings.bounds.retry(),
			ProbesPerSecond: settings.bounds.ProbesPerSecond,
		}),
		calls: newBoxes(), runs: newBoxes(), reserved: newReservations(), watch: ingress.NewWatch(),
		upstream:  exchange.New(exchange.Config{Address: settings.Upstream, MaxConns: upstreamConns, Mine: dialect.Mine}),
		peers:     newPools(seams.Dial),
		registry:  registry.New(registry.Config{Addresses: settings.Platform}),
		store:     platform.New(platform.Config{Address: settings.Store}),
		dialect:   dialect,
		following: newFollowing(),
		probing:   &probing{},
		ctx:       ctx, stop: stop,
	}
	d.burn = burn.New(burn.Config{Instance: settings.Instance, Level: d.level})
	d.metrics = newMetrics(d)
	d.held = newHeldCopy(d)
	return d
}

func (d *Daemon) listen() (err error) {
	s := d.settings
	if d.control, err = peer.Start(peer.Config{Listen: s.opened(s.Control), From: s.Bind, Handle: d.receive, Lost: d.lostFraming}); err != nil {
		return fmt.Errorf("control: %w", err)
	}
	if d.fromPeer, err = ingress.Start(ingress.Config{Listen: s.opened(s.Peer), Handle: d.servePeer, Expect: d.expectPeer, NoDate: true}); err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	if d.admin, err = ingress.Start(ingress.Config{Listen: s.opened(s.Admin), Handle: d.serveAdmin}); err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	if s.Ready != "" {
		if d.ready, err = ingress.Start(ingress.Config{Listen: s.opened(s.Ready), Handle: d.serveReady}); err != nil {
			return fmt.Errorf("ready: %w", err)
		}
	}
	if d.callers, err = ingress.Start(ingress.Config{Listen: s.opened(s.Listen), Handle: d.serveCaller}); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return nil
}

// update gives the node one message and carries out what it commands.
func (d *Daemon) update(m node.Message) []node.Command {
	d.mu.Lock()
	commands := d.node.Update(m, time.Now())
	d.mu.Unlock()
	d.execute(commands)
	return commands
}

// Shutdown tells that this daemon leaves, refuses new work, closes the ports and
// lets what is under way end. Callers are served until then, so that those who
// have not heard yet are not cut off; where they go on coming the ports close in
// time for what runs to end.
func (d *Daemon) Shutdown() error {
	d.part("daemon").Info("The daemon is shutting down.")
	d.leaving.Store(true)
	d.update(node.Shutdown{})
	told := time.Now()
	for since := time.Duration(0); since < d.settings.lastDoor(); since = time.Since(told) {
		if since >= d.settings.drain() {
			d.update(node.Closing{})
			if d.Idle() {
				break
			}
		}
		time.Sleep(idleCheck)
	}
	d.update(node.Closing{})
	ctx, cancel := context.WithDeadline(context.Background(), told.Add(d.settings.maxStop()))
	defer cancel()
	d.farewell()
	err := d.callers.Shutdown(ctx)
	if errPeer := d.fromPeer.Shutdown(ctx); err == nil {
		err = errPeer
	}
	d.close()
	if err != nil {
		return fmt.Errorf("shut down: %w", err)
	}
	d.part("daemon").Info("The daemon has stopped.", "tookMs", ms(time.Since(told)))
	return nil
}

// NoteReload tells the log of a wish to read the settings again.
func (d *Daemon) NoteReload() {
	d.part("daemon").Info("A reload was asked for. Settings are flags, nothing has changed.")
}

// farewell sends the last control messages and leaves them time to go out.
func (d *Daemon) farewell() {
	d.mu.Lock()
	commands := d.node.Farewell(time.Now())
	d.mu.Unlock()
	d.execute(commands)
	time.Sleep(farewellTime)
}

// Idle reports whether no request is under way at this daemon.
func (d *Daemon) Idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Idle()
}

// close ends what Start began, in whatever state it is.
func (d *Daemon) close() {
	d.stop()
	d.loops.Wait()
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

// loop runs work until the daemon stops.
func (d *Daemon) loop(work func()) {
	d.loops.Add(1)
	go func() {
		defer d.loops.Done()
		work()
	}()
}

func (d *Daemon) tick() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.update(node.Tick{})
			d.askNeighbours(time.Now())
		case <-d.ctx.Done():
			return
		}
	}
}

func (d *Daemon) sweep() {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.peers.sweep()
			d.boundUpstream()
			d.upstream.Sweep()
		case <-d.ctx.Done():
			return
		}
	}
}

// boundUpstream puts the document's bound on connections to the upstream in
// force.
func (d *Daemon) boundUpstream() {
	d.mu.Lock()
	bound, ok := d.node.Connections()
	d.mu.Unlock()
	if ok {
		d.upstream.SetMaxConns(bound)
	}
}

// part returns the log of one part, with its fixed prefix.
func (d *Daemon) part(name string) *log.Logger {
	return d.log.WithPrefix(name)
}

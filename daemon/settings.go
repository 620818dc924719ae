package daemon

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"regexp"
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/node"
	"pomelodoor.example/pomelodoor/platform"
)

// ErrSettings is wrapped by the error for each wrong setting.
var ErrSettings = errors.New("bad setting")

// Settings are the flags and environment variables of `pomelodoor run`.
type Settings struct {
	Instance         string   `arg:"--instance,required,env:POMELODOOR_INSTANCE" help:"name of this instance"`
	Service          string   `arg:"--service,required,env:POMELODOOR_SERVICE" help:"service that the upstream belongs to"`
	AvailabilityZone string   `arg:"--availability-zone,required,env:POMELODOOR_AVAILABILITY_ZONE" help:"availability zone of this instance"`
	Region           string   `arg:"--region,env:POMELODOOR_REGION" default:"default" placeholder:"REGION" help:"region of this instance"`
	Listen           string   `arg:"--listen,required,env:POMELODOOR_LISTEN" help:"IP:PORT of HTTP for callers"`
	Peer             string   `arg:"--peer,required,env:POMELODOOR_PEER" help:"IP:PORT of HTTP for other daemons"`
	Control          string   `arg:"--control,required,env:POMELODOOR_CONTROL" help:"IP:PORT of jsonrpc2 for other daemons"`
	Admin            string   `arg:"--admin,required,env:POMELODOOR_ADMIN" help:"IP:PORT of HTTP for operators: /status and /debug/vars"`
	Bind             string   `arg:"--bind,env:POMELODOOR_BIND" help:"IP to open the ports at, and to come from to other daemons, where it differs from that by which others come"`
	Upstream         string   `arg:"--upstream,required,env:POMELODOOR_UPSTREAM" help:"IP:PORT of the upstream beside this daemon"`
	Platform         []string `arg:"--platform,env:POMELODOOR_PLATFORM" help:"IP:PORT of the registry of documents and instances; several are tried in turn"`
	Store            string   `arg:"--store,env:POMELODOOR_STORE" help:"IP:PORT of the users' store, in place of --platform"`
	Seeds            []string `arg:"--seeds,env:POMELODOOR_SEEDS" help:"IP:PORT of the control ports of some daemons, to be asked for their copy of the store while it does not answer"`
	Ready            string   `arg:"--ready,env:POMELODOOR_READY" help:"IP:PORT of HTTP that answers 200 while this daemon takes callers"`
	Bounds           string   `arg:"--bounds,env:POMELODOOR_BOUNDS" help:"what the users' platform asks of the process, as a JSON object"`
	Assume           []string `arg:"--assume,env:POMELODOOR_ASSUME" help:"actions allowed while the users' store holds no switches document"`
	FleetSize        int      `arg:"--fleet-size,env:POMELODOOR_FLEET_SIZE" default:"3000" placeholder:"N" help:"most instances that may start at once; the platform is read accordingly seldom until the list is known"`
	LogLevel         string   `arg:"--log-level,env:POMELODOOR_LOG_LEVEL" default:"info" placeholder:"LEVEL" help:"debug, info, warn or error"`
	LogFormat        string   `arg:"--log-format,env:POMELODOOR_LOG_FORMAT" default:"text" placeholder:"FORMAT" help:"text or json"`
	DrainSeconds     float64  `arg:"--drain-seconds,env:POMELODOOR_DRAIN_SECONDS" default:"3" placeholder:"S" help:"least time between telling others of a shutdown and closing the ports"`
	OnlyCheck        bool     `arg:"--check" help:"check the settings and exit; nothing is opened"`
	MaxStopSeconds   float64  `arg:"--max-stop-seconds,env:POMELODOOR_MAX_STOP_SECONDS" default:"600" placeholder:"S" help:"most time that a shutdown waits for requests under way"`

	bounds sharedBounds
}

// direct reports whether the daemon reads the users' store.
func (s *Settings) direct() bool { return s.Store != "" }

// seeds returns where the seeds other than this daemon take requests of daemons.
// Check has accepted their addresses.
func (s *Settings) seeds() []string {
	var out []string
	for _, control := range s.Seeds {
		if control != s.Control {
			out = append(out, platform.PeerOf(control, s.Peer))
		}
	}
	return out
}

// assumed returns the actions of Assume. Check has accepted them.
func (s *Settings) assumed() []config.Action {
	var actions []config.Action
	for _, name := range s.Assume {
		actions = append(actions, config.Action(name))
	}
	return actions
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62})$`)

const (
	maxDrainSeconds = 3600
	maxFleetSize    = 100_000
)

// Check returns an error that names every wrong setting.
func (s *Settings) Check() error {
	var faults []error
	fault := func(flag, text string) {
		faults = append(faults, fmt.Errorf("%w: --%s: %s", ErrSettings, flag, text))
	}
	names := map[string]string{
		"instance": s.Instance, "service": s.Service,
		"availability-zone": s.AvailabilityZone, "region": s.Region,
	}
	for _, flag := range []string{"instance", "service", "availability-zone", "region"} {
		if !namePattern.MatchString(names[flag]) {
			fault(flag, fmt.Sprintf("%q is not a name of lower-case letters, digits, dots, dashes and underscores", names[flag]))
		}
	}
	s.checkAddresses(fault)
	s.checkStore(fault)
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		fault("log-level", fmt.Sprintf("%q is none of debug, info, warn, error", s.LogLevel))
	}
	if s.LogFormat != "text" && s.LogFormat != "json" {
		fault("log-format", fmt.Sprintf("%q is neither text nor json", s.LogFormat))
	}
	if s.FleetSize < 1 || s.FleetSize > maxFleetSize {
		fault("fleet-size", fmt.Sprintf("%d is not between 1 and %d", s.FleetSize, maxFleetSize))
	}
	for flag, seconds := range map[string]float64{"drain-seconds": s.DrainSeconds, "max-stop-seconds": s.MaxStopSeconds} {
		if !(seconds >= 0 && seconds <= maxDrainSeconds) {
			fault(flag, fmt.Sprintf("%g is not between 0 and %d", seconds, maxDrainSeconds))
		}
	}
	return errors.Join(faults...)
}

func (s *Settings) checkAddresses(fault func(flag, text string)) {
	own := map[string]string{}
	for _, a := range []struct{ flag, address string }{
		{"listen", s.Listen}, {"peer", s.Peer}, {"control", s.Control}, {"admin", s.Admin}, {"upstream", s.Upstream},
	} {
		if !isAddress(a.address) {
			fault(a.flag, fmt.Sprintf("%q is not IP:PORT", a.address))
			continue
		}
		if other, twice := own[a.address]; twice {
			fault(a.flag, fmt.Sprintf("%s is already used by --%s", a.address, other))
		}
		own[a.address] = a.flag
	}
	if _, err := netip.ParseAddr(s.Bind); s.Bind != "" && err != nil {
		fault("bind", fmt.Sprintf("%q is no IP", s.Bind))
	}
	for _, address := range s.Platform {
		if !isAddress(address) {
			fault("platform", fmt.Sprintf("%q is not IP:PORT", address))
		}
	}
}

// checkStore checks what belongs to the users' platform, and keeps its bounds.
func (s *Settings) checkStore(fault func(flag, text string)) {
	switch {
	case s.Store == "" && len(s.Platform) == 0:
		fault("platform", "is missing, and so is --store")
	case s.Store != "" && len(s.Platform) > 0:
		fault("store", "stands beside --platform")
	}
	for flag, address := range map[string]string{"store": s.Store, "ready": s.Ready} {
		if address != "" && !isAddress(address) {
			fault(flag, fmt.Sprintf("%q is not IP:PORT", address))
		}
	}
	for _, address := range s.Seeds {
		if !isAddress(address) {
			fault("seeds", fmt.Sprintf("%q is not IP:PORT", address))
		}
	}
	if len(s.Seeds) > 0 && s.Store == "" {
		fault("seeds", "stands without --store")
	}
	for _, name := range s.Assume {
		if !slices.Contains(config.Actions(), config.Action(name)) {
			fault("assume", fmt.Sprintf("%q is no action", name))
		}
	}
	bounds, err := platform.ParseBounds(s.Bounds)
	if err != nil {
		fault("bounds", err.Error())
	}
	s.bounds = sharedBounds{bounds}
}

// sharedBounds are the bounds in the words of package node.
type sharedBounds struct{ platform.Bounds }

// String returns the bounds as the log shows them.
func (b sharedBounds) String() string {
	return fmt.Sprintf("stopWithin=%s applyWithin=%s retryShare=%g retryExtra=%g retryWindow=%s probesPerSecond=%g",
		b.StopWithin, b.ApplyWithin, b.RetryShare, b.RetryExtra, b.RetryWindow, b.ProbesPerSecond)
}

func (b sharedBounds) retry() node.SharedBudget {
	return node.SharedBudget{Share: b.RetryShare, Extra: b.RetryExtra, Window: b.RetryWindow}
}

// opened returns where to open the port of an address by which others come.
func (s *Settings) opened(address string) string {
	_, port, err := net.SplitHostPort(address)
	if s.Bind == "" || err != nil {
		return address
	}
	return net.JoinHostPort(s.Bind, port)
}

// gatherPercent is the part of the time to follow the store for which its changes
// may be gathered. The rest is for the call and for a slow processor.
const gatherPercent = 65

// gather returns how long changes of the store are gathered; 0 is the default.
func (s *Settings) gather() time.Duration {
	return s.bounds.ApplyWithin * gatherPercent / 100
}

// isAddress reports whether text is an IP number and a port above 0.
func isAddress(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() != 0
}

// drain leaves half of the time to stop to what runs.
func (s *Settings) drain() time.Duration {
	return min(time.Duration(s.DrainSeconds*float64(time.Second)), s.maxStop()/2)
}

// stopMargin is left of the time that the platform gives a process to stop.
const stopMargin = 800 * time.Millisecond

// finishTime is left to what runs once the ports have closed: about as long as
// callers wait.
const finishTime = 1500 * time.Millisecond

// lastDoor is when the ports close at the latest.
func (s *Settings) lastDoor() time.Duration {
	return max(s.maxStop()-finishTime, s.drain())
}

func (s *Settings) maxStop() time.Duration {
	limit := time.Duration(s.MaxStopSeconds * float64(time.Second))
	if within := s.bounds.StopWithin; within > 0 {
		limit = min(limit, max(within-stopMargin, 0))
	}
	return limit
}

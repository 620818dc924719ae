package daemon

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"
	"unicode"

	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/node"
	"pomelodoor.example/pomelodoor/platform"
)

// ErrSettings is wrapped by the error for each invalid setting.
var ErrSettings = errors.New("invalid setting")

// Settings are the flags and environment variables of `pomelodoor run`.
type Settings struct {
	Instance         string   `arg:"--instance,required,env:POMELODOOR_INSTANCE" help:"name of this instance"`
	Service          string   `arg:"--service,required,env:POMELODOOR_SERVICE" help:"service that the upstream belongs to"`
	AvailabilityZone string   `arg:"--availability-zone,required,env:POMELODOOR_AVAILABILITY_ZONE" help:"availability zone of this instance"`
	Region           string   `arg:"--region,env:POMELODOOR_REGION" default:"default" placeholder:"REGION" help:"region of this instance"`
	Listen           string   `arg:"--listen,required,env:POMELODOOR_LISTEN" help:"IP:PORT of HTTP for callers"`
	Peer             string   `arg:"--peer,required,env:POMELODOOR_PEER" help:"IP:PORT of HTTP for other daemons"`
	Control          string   `arg:"--control,required,env:POMELODOOR_CONTROL" help:"IP:PORT of jsonrpc2 for other daemons"`
	Admin            string   `arg:"--admin,required,env:POMELODOOR_ADMIN" help:"IP:PORT of HTTP for operators: /status, /documents and /debug/vars"`
	Bind             string   `arg:"--bind,env:POMELODOOR_BIND" help:"IP to open the ports at, and to come from to other daemons, where it differs from that by which others come"`
	Upstream         string   `arg:"--upstream,required,env:POMELODOOR_UPSTREAM" help:"IP:PORT of the upstream beside this daemon"`
	Platform         []string `arg:"--platform,env:POMELODOOR_PLATFORM" help:"IP:PORT of the registry of documents and instances; several are tried in turn"`
	Store            string   `arg:"--store,env:POMELODOOR_STORE" help:"IP:PORT of the users' store, in place of --platform"`
	Seeds            []string `arg:"--seeds,env:POMELODOOR_SEEDS" help:"IP:PORT of the control ports of some daemons, to be asked for their copy of the store while it does not answer"`
	Ready            string   `arg:"--ready,env:POMELODOOR_READY" help:"IP:PORT of HTTP that answers 200 while this daemon takes callers"`
	Bounds           string   `arg:"--bounds,env:POMELODOOR_BOUNDS" help:"what the users' platform asks of the process, as a JSON object"`
	Zones            string   `arg:"--zones,env:POMELODOOR_ZONES" help:"region of each availability zone of the users' platform, as a JSON object"`
	Assume           []string `arg:"--assume,env:POMELODOOR_ASSUME" help:"actions allowed while the users' store holds no switches document"`
	FleetSize        int      `arg:"--fleet-size,env:POMELODOOR_FLEET_SIZE" default:"3000" placeholder:"N" help:"most instances that may start at once; the platform is read accordingly seldom until the list is known"`
	MemoryMB         float64  `arg:"--memory-mb,env:POMELODOOR_MEMORY_MB" default:"0" placeholder:"MB" help:"memory of the host in MB, from which the limits on what is held for callers and other daemons follow; 0 if it is not known"`
	LogLevel         string   `arg:"--log-level,env:POMELODOOR_LOG_LEVEL" default:"info" placeholder:"LEVEL" help:"debug, info, warn or error"`
	LogFormat        string   `arg:"--log-format,env:POMELODOOR_LOG_FORMAT" default:"text" placeholder:"FORMAT" help:"text or json"`
	DrainSeconds     float64  `arg:"--drain-seconds,env:POMELODOOR_DRAIN_SECONDS" default:"3" placeholder:"S" help:"least time between telling others of a shutdown and closing the ports"`
	CheckOnly        bool     `arg:"--check" help:"check the settings and exit; nothing is opened"`
	MaxStopSeconds   float64  `arg:"--max-stop-seconds,env:POMELODOOR_MAX_STOP_SECONDS" default:"600" placeholder:"S" help:"most time that a shutdown waits for requests under way"`

	bounds platformBounds
	// regions holds the region of each zone in Zones.
	regions map[string]string
}

// direct reports whether the daemon reads the users' store itself.
func (s *Settings) direct() bool { return s.Store != "" }

// seeds returns the peer addresses of the seeds other than this daemon. Check has
// validated their control addresses.
func (s *Settings) seeds() []string {
	var out []string
	for _, control := range s.Seeds {
		if control != s.Control {
			out = append(out, platform.PeerAddress(control, s.Peer))
		}
	}
	return out
}

// seedReaders returns the peer addresses of the seeds that a starting daemon polls, in an
// order that differs between daemons. A seed polls those listed before it, and shared is
// true for it.
func (s *Settings) seedReaders(incarnation uint64) (readers []string, shared bool) {
	if i := slices.Index(s.Seeds, s.Control); i >= 0 {
		for _, control := range s.Seeds[:i] {
			readers = append(readers, platform.PeerAddress(control, s.Peer))
		}
		return readers, true
	}
	readers = s.seeds()
	if len(readers) > 1 {
		first := int(incarnation % uint64(len(readers)))
		readers = append(readers[first:], readers[:first]...)
	}
	return readers, false
}

// regionOf returns the region of an availability zone, or "" if it is not known. The table of
// zones is the same for all daemons, so it goes before the region of this one.
func (s *Settings) regionOf(zone string) string {
	if region, ok := s.regions[zone]; ok || zone != s.AvailabilityZone {
		return region
	}
	return s.Region
}

// assumedActions returns the actions of Assume. Check has validated them.
func (s *Settings) assumedActions() []config.Action {
	var actions []config.Action
	for _, name := range s.Assume {
		actions = append(actions, config.Action(name))
	}
	return actions
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62})$`)

const (
	// maxNameBytes limits the names that the users' platform chooses.
	maxNameBytes      = 256
	maxSettingSeconds = 3600
	maxFleetSize      = 100_000
	// minMemoryMB leaves the account room for a few bodies of the longest buffered length.
	minMemoryMB = 32
	maxMemoryMB = 1 << 20
)

// Check returns an error that names every invalid setting.
func (s *Settings) Check() error {
	var errs []error
	invalid := func(flag, text string) {
		errs = append(errs, fmt.Errorf("%w: --%s: %s", ErrSettings, flag, text))
	}
	names := map[string]string{
		"instance": s.Instance, "service": s.Service,
		"availability-zone": s.AvailabilityZone, "region": s.Region,
	}
	for _, flag := range []string{"instance", "service", "availability-zone", "region"} {
		if problem := s.checkName(names[flag]); problem != "" {
			invalid(flag, fmt.Sprintf("%q %s", names[flag], problem))
		}
	}
	s.checkAddresses(invalid)
	s.checkStore(invalid)
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		invalid("log-level", fmt.Sprintf("%q is not one of debug, info, warn, error", s.LogLevel))
	}
	if s.LogFormat != "text" && s.LogFormat != "json" {
		invalid("log-format", fmt.Sprintf("%q is neither text nor json", s.LogFormat))
	}
	if s.FleetSize < 1 || s.FleetSize > maxFleetSize {
		invalid("fleet-size", fmt.Sprintf("%d is not between 1 and %d", s.FleetSize, maxFleetSize))
	}
	if s.MemoryMB != 0 && !(s.MemoryMB >= minMemoryMB && s.MemoryMB <= maxMemoryMB) {
		invalid("memory-mb", fmt.Sprintf("%g is neither 0 nor between %d and %d", s.MemoryMB, minMemoryMB, maxMemoryMB))
	}
	for flag, seconds := range map[string]float64{"drain-seconds": s.DrainSeconds, "max-stop-seconds": s.MaxStopSeconds} {
		if !(seconds >= 0 && seconds <= maxSettingSeconds) {
			invalid(flag, fmt.Sprintf("%g is not between 0 and %d", seconds, maxSettingSeconds))
		}
	}
	return errors.Join(errs...)
}

// checkName returns what is wrong with a name, or "". The users' platform chooses names
// by rules of its own.
func (s *Settings) checkName(name string) string {
	if s.direct() {
		if name == "" || len(name) > maxNameBytes || strings.ContainsFunc(name, unicode.IsControl) {
			return fmt.Sprintf("is empty, longer than %d bytes or has control characters", maxNameBytes)
		}
		return ""
	}
	if !namePattern.MatchString(name) {
		return "is not a name of lower-case letters, digits, dots, dashes and underscores"
	}
	return ""
}

func (s *Settings) checkAddresses(invalid func(flag, text string)) {
	flagByAddress := map[string]string{}
	for _, a := range []struct{ flag, address string }{
		{"listen", s.Listen}, {"peer", s.Peer}, {"control", s.Control}, {"admin", s.Admin}, {"upstream", s.Upstream},
	} {
		if !isAddress(a.address) {
			invalid(a.flag, fmt.Sprintf("%q is not IP:PORT", a.address))
			continue
		}
		if other, used := flagByAddress[a.address]; used {
			invalid(a.flag, fmt.Sprintf("%s is already used by --%s", a.address, other))
		}
		flagByAddress[a.address] = a.flag
	}
	if _, err := netip.ParseAddr(s.Bind); s.Bind != "" && err != nil {
		invalid("bind", fmt.Sprintf("%q is no IP", s.Bind))
	}
	for _, address := range s.Platform {
		if !isAddress(address) {
			invalid("platform", fmt.Sprintf("%q is not IP:PORT", address))
		}
	}
}

// checkStore checks the settings of the users' platform and stores its parsed
// bounds.
func (s *Settings) checkStore(invalid func(flag, text string)) {
	switch {
	case s.Store == "" && len(s.Platform) == 0:
		invalid("platform", "either --platform or --store is required")
	case s.Store != "" && len(s.Platform) > 0:
		invalid("store", "cannot be used together with --platform")
	}
	for flag, address := range map[string]string{"store": s.Store, "ready": s.Ready} {
		if address != "" && !isAddress(address) {
			invalid(flag, fmt.Sprintf("%q is not IP:PORT", address))
		}
	}
	for _, address := range s.Seeds {
		if !isAddress(address) {
			invalid("seeds", fmt.Sprintf("%q is not IP:PORT", address))
		}
	}
	if len(s.Seeds) > 0 && s.Store == "" {
		invalid("seeds", "requires --store")
	}
	for _, name := range s.Assume {
		if !slices.Contains(config.Actions(), config.Action(name)) {
			invalid("assume", fmt.Sprintf("%q is not an action", name))
		}
	}
	s.checkZones(invalid)
	bounds, err := platform.ParseBounds(s.Bounds)
	if err != nil {
		invalid("bounds", err.Error())
	}
	s.bounds = platformBounds{bounds}
}

// checkZones checks the table of zones and stores it.
func (s *Settings) checkZones(invalid func(flag, text string)) {
	if s.Zones != "" && s.Store == "" {
		invalid("zones", "requires --store")
	}
	var err error
	if s.regions, err = platform.ParseZones(s.Zones); err != nil {
		invalid("zones", err.Error())
	}
}

// platformBounds converts the bounds of the platform for package node and the
// log.
type platformBounds struct{ platform.Bounds }

// String returns the bounds in the format of the log.
func (b platformBounds) String() string {
	return fmt.Sprintf("stopWithin=%s applyWithin=%s retryShare=%g retryExtra=%g retryWindow=%s probesPerSecond=%g coldExcess=%g coldSlack=%g",
		b.StopTimeout, b.ApplyTimeout, b.RetryShare, b.RetryExtra, b.RetryWindow, b.ProbesPerSecond, b.ColdExcess, b.ColdSlack)
}

func (b platformBounds) cold() node.ColdBound {
	return node.ColdBound{Excess: b.ColdExcess, Slack: b.ColdSlack}
}

func (b platformBounds) retry() node.SharedBudget {
	return node.SharedBudget{Share: b.RetryShare, Extra: b.RetryExtra, Window: b.RetryWindow}
}

// bindAddress returns the address to listen at for an advertised address: the IP
// is replaced by Bind if that is set.
func (s *Settings) bindAddress(address string) string {
	_, port, err := net.SplitHostPort(address)
	if s.Bind == "" || err != nil {
		return address
	}
	return net.JoinHostPort(s.Bind, port)
}

// watchDelayPercent is the part of ApplyTimeout by which the next watch is delayed
// after a change. The rest is for the call and for a slow processor.
const watchDelayPercent = 65

// watchDelay returns how long the next watch is delayed after a change, so that one
// call returns several changes; 0 selects the default of package follow.
func (s *Settings) watchDelay() time.Duration {
	return s.bounds.ApplyTimeout * watchDelayPercent / 100
}

// isAddress reports whether text is an IP address and a port above 0.
func isAddress(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() != 0
}

// drainTime returns DrainSeconds, limited to half of the time to stop; the other
// half is left for running requests.
func (s *Settings) drainTime() time.Duration {
	return min(time.Duration(s.DrainSeconds*float64(time.Second)), s.maxStop()/2)
}

// stopMargin is the part of the platform's time limit for stopping a process that
// a shutdown leaves unused. Together with answerReserve it is less than a sixth of a limit
// of 6 s: requests at which an upstream is at work are not given up before.
const stopMargin = 600 * time.Millisecond

// finishReserve is the time left for running requests after the ports have
// closed: about as long as callers wait.
const finishReserve = 1500 * time.Millisecond

// answerReserve is the time before the end of a stop at which the requests that are still
// running are answered.
const answerReserve = 250 * time.Millisecond

// portsCloseBy returns the latest time after the start of a shutdown at which the
// ports close.
func (s *Settings) portsCloseBy() time.Duration {
	return max(s.maxStop()-finishReserve, s.drainTime())
}

func (s *Settings) maxStop() time.Duration {
	limit := time.Duration(s.MaxStopSeconds * float64(time.Second))
	if stopTimeout := s.bounds.StopTimeout; stopTimeout > 0 {
		limit = min(limit, max(stopTimeout-stopMargin, 0))
	}
	return limit
}

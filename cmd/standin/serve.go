package main

import (
	"context"
	"time"

	"pomelodoor.example/pomelodoor/standin"
)

type platformArgs struct {
	Listen  string        `help:"loopback address; empty chooses a port"`
	Lag     time.Duration `help:"how far the list of instances trails" default:"0s"`
	MaxTime time.Duration `arg:"--max-time" help:"end after this time" default:"1h"`
}

func (a *platformArgs) run(ctx context.Context) error {
	p, err := standin.NewPlatform(standin.PlatformConfig{Listen: a.Listen, Lag: a.Lag})
	if err != nil {
		return err
	}
	defer p.Close()
	return serve(ctx, standin.Announcement{Listen: p.Addr()}, a.MaxTime)
}

type workerArgs struct {
	ID          string        `arg:"--id" help:"name in the record" default:"worker"`
	Listen      string        `help:"loopback address; empty chooses a port"`
	Admin       string        `help:"loopback address that outlives a crash; empty chooses a port"`
	Slots       int           `help:"requests that run at once" default:"12"`
	Connections int           `help:"connections served at once" default:"240"`
	ServiceTime time.Duration `arg:"--service-time" help:"mean time of a request" default:"2ms"`
	ProbeTime   time.Duration `arg:"--probe-time" help:"time of GET /load" default:"1ms"`
	LoadLag     time.Duration `arg:"--load-lag" help:"age of what GET /load reports" default:"0s"`
	ColdTime    time.Duration `arg:"--cold-time" help:"length of a cold start" default:"5s"`
	Restart     time.Duration `help:"time away after a crash; 0 stays away" default:"0s"`
	Seed        uint64        `help:"seed of the jitter" default:"1"`
	MaxTime     time.Duration `arg:"--max-time" help:"end after this time" default:"1h"`
}

func (a *workerArgs) run(ctx context.Context) error {
	w, err := standin.NewWorker(standin.WorkerConfig{
		ID: a.ID, Listen: a.Listen, Admin: a.Admin, Slots: a.Slots, MaxConns: a.Connections,
		ServiceTime: a.ServiceTime, ProbeTime: a.ProbeTime, LoadLag: a.LoadLag,
		ColdTime: a.ColdTime, RestartDelay: a.Restart, Seed: a.Seed,
	})
	if err != nil {
		return err
	}
	defer w.Close()
	return serve(ctx, standin.Announcement{Listen: w.Addr(), Admin: w.AdminAddr()}, a.MaxTime)
}

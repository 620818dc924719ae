package main

import (
	"encoding/json"
	"time"
)

const (
	// valueBytes is the largest value of the store (value_bytes).
	valueBytes = 1 << 20
	// growthStep is the largest count of big_config, growthPause the time between two.
	growthStep  = 1400
	growthPause = 3 * time.Second
	downTime    = time.Second
	recovery    = 15 * time.Second
	judgedFor   = 15 * time.Second
)

func init() { cases["config-limit"] = caseRun{"RECOVER", configLimit} }

// configLimit: the configuration grows by many routes until its value is nearly as large
// as the store allows. Then all daemons are killed and started again.
func configLimit(f *fleet, trouble bool) error {
	stop := make(chan struct{})
	wg := f.offer(f.clients(), 1, stop)
	before := f.rec.since()
	time.Sleep(growthPause)
	routes, version := 0, 1
	for trouble {
		step := growthStep
		for step > 0 && configBytes(version+1, routes+step) > valueBytes {
			step -= 10
		}
		if step <= 0 {
			break
		}
		routes, version = routes+step, version+1
		f.store.put(configKey, siteConfig(version, routes))
		f.rec.note("configuration %08x: %d routes more, %d in all, %d bytes of at most %d", version, step, routes, configBytes(version, routes), valueBytes)
		time.Sleep(growthPause)
	}
	after := f.rec.since()
	f.rec.note("all daemons are killed")
	f.killAll()
	time.Sleep(downTime)
	for _, m := range f.machines {
		if err := f.startDaemon(m); err != nil {
			return err
		}
	}
	return f.judgeRecovery(before, after, func() { close(stop); wg.Wait() })
}

func configBytes(version, routes int) int {
	text, err := json.Marshal(siteConfig(version, routes))
	if err != nil {
		panic(err)
	}
	return len(text)
}

// Package standin holds small test stand-ins of the systems around pomelodoor:
// the platform's read-and-watch service, an upstream worker, a caller that
// offers load and checks each answer, and a TCP relay for the link between
// availability zones. They run in a test's process or, through cmd/standin, as
// processes of their own. They listen on loopback only.
//
//	p, err := standin.NewPlatform(standin.PlatformConfig{})
//	...
//	defer p.Close()
//	err = p.Publish("switches", []byte(`{"kind":"switches","revision":1}`))
//
// Unlike the packages that decide, this one owns goroutines, sockets and
// clocks.
package standin

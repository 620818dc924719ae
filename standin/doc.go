// Package standin provides test stand-ins for the systems around pomelodoor:
// the platform's read-and-watch service, an upstream worker, a caller that
// generates load and checks each response, and a TCP relay that simulates the
// link between availability zones. They run inside a test process or, through
// cmd/standin, as separate processes. They listen on loopback addresses only.
//
//	p, err := standin.NewPlatform(standin.PlatformConfig{})
//	...
//	defer p.Close()
//	err = p.Publish("switches", []byte(`{"kind":"switches","revision":1}`))
//
// Unlike the packages that only make decisions, this one owns goroutines,
// sockets and clocks.
package standin

// Package registry reads the operators' documents and the list of instances
// from the product's own read-and-watch service, where there is no users' platform. It writes nothing.
//
// The service counts every call, a waiting watch as one, so calls are made only
// when package spread asks for one.
//
//	c := registry.New(registry.Config{Addresses: []string{"127.0.0.1:7000"}})
//	index, err := c.Index(ctx, 0, time.Second)
package registry

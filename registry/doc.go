// Package registry reads the operators' documents and the list of instances
// from pomelodoor's own read-and-watch service, which is used where there is no
// users' platform. It is read-only.
//
// The service counts every call, including each watch, so calls are made only
// when package spread requests one.
//
//	c := registry.New(registry.Config{Addresses: []string{"127.0.0.1:7000"}})
//	index, err := c.Index(ctx, 0, time.Second)
package registry

//go:build !unix

package daemon

// maxDescriptors returns a common limit where the limit of the process cannot be read.
func maxDescriptors() int { return defaultDescriptors }

// Package standin implements a fake endpoint for the demo and for tests.
package standin

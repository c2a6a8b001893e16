// Package standin holds a small fake of an endpoint for the demo and the tests.
package standin

// Package explanation describes where a job would go now and why. The leader fills in an Explanation; operators get it as text or
// as JSON.
package explanation

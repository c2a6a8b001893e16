// Package interference learns which kinds of tasks slow each other down on one worker. Its results depend only on the
// measurements and the times that it is given, so that it can be tested without a network or a clock.
package interference

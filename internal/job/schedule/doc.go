// Package schedule decides on the leader which waiting jobs start where and which running ones make room for them.
package schedule

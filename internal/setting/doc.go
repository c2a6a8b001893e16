// Package setting reads the settings of the subcommands from flags and environment variables and checks them.
package setting
